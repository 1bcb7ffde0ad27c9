package state

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Guards against a replica of an older build that drops what it does not know: it would differ from
// the others without a sign. It says that a newer build wrote the entry or snapshot.
func TestEntryOrSnapshotOfANewerBuildIsRefused(t *testing.T) {
	at := time.Unix(1800000000, 0).UTC()
	known := Command{At: at, BatchAccept: &BatchAccept{Batch: Batch{ID: "j", Items: []BatchItem{{ID: "i", Path: "/p"}}}}}
	s := New()
	s.Apply(known)
	snapshot, err := s.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	entry, err := known.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	decode := map[string]func([]byte) error{
		"entry":    func(b []byte) error { _, err := DecodeCommand(b); return err },
		"snapshot": func(b []byte) error { _, err := Decode(b); return err },
	}
	for kind, b := range map[string][]byte{"entry": entry, "snapshot": snapshot} {
		g := NewWithT(t)
		g.Expect(decode[kind](b)).To(Succeed())
		var fields map[string]any
		g.Expect(decMode.Unmarshal(b, &fields)).To(Succeed())
		fields["of_a_newer_build"] = map[string]any{"x": 1}
		newer, err := encMode.Marshal(fields)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.CodeOf(decode[kind](newer))).To(Equal(result.DataNewer), kind)
		g.Expect(result.CodeOf(decode[kind](b[:len(b)/2]))).To(Equal(result.DataCorrupt), kind)
	}
	g := NewWithT(t)
	text, err := json.Marshal(known)
	g.Expect(err).NotTo(HaveOccurred())
	nested := strings.Replace(string(text), `"id":"i"`, `"id":"i","of_a_newer_build":true`, 1)
	_, err = DecodeCommand([]byte(nested))
	g.Expect(result.CodeOf(err)).To(Equal(result.DataNewer))
}

// Guards against a change that cannot read what builds that have landed wrote: each line of a file
// is an entry or a snapshot of the build that the file is named for. They decode, and the entries give
// the state that the snapshot of the same build holds.
func TestEntriesAndSnapshotsOfLandedBuildsAreRead(t *testing.T) {
	files, err := filepath.Glob("testdata/*.golden")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		text, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		s := New()
		snapshots := 0
		for line := range strings.Lines(string(text)) {
			kind, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
			b, err := hex.DecodeString(digits)
			g.Expect(err).NotTo(HaveOccurred(), file)
			if kind == "entry" {
				c, err := DecodeCommand(b)
				g.Expect(err).NotTo(HaveOccurred(), file)
				s.Apply(c)
				continue
			}
			held, err := Decode(b)
			g.Expect(err).NotTo(HaveOccurred(), file)
			if strings.Contains(file, "6211bc4") { // the two differences of that build, which nobody can read
				held.Ledger.Time = s.Ledger.Time // it has no time of the group
				held.Ledger.Batches["j2"].dropRequests(false)
			}
			want, err := held.Encode()
			g.Expect(err).NotTo(HaveOccurred(), file)
			got, err := s.Encode()
			g.Expect(err).NotTo(HaveOccurred(), file)
			g.Expect(got).To(Equal(want), "%s: the entries give another state than in the build that wrote them", file)
			snapshots++
		}
		g.Expect(snapshots).To(BeNumerically(">", 0), file)
	}
}
