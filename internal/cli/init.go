package cli

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/settings"
)

type initCommand struct {
	o       *options
	Config  string   `long:"config" required:"true" value-name:"FILE" description:"settings of this daemon"`
	KeyFile string   `long:"operator-key-file" required:"true" value-name:"FILE" description:"first operator key; created when missing, the same for all voters"`
	Voters  []string `long:"voter" required:"true" value-name:"ID=IP:PORT@ZONE" description:"a first voter: daemon id, peer address and availability zone"`
}

// Execute implements flags.Commander.
func (c *initCommand) Execute([]string) error {
	cfg, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	if cfg.DataFolder == "" {
		return result.New(result.SettingMissing, "%s sets no data_folder", c.Config)
	}
	voters, err := parseVoters(c.Voters)
	if err != nil {
		return err
	}
	key, err := loadOrCreateOperatorKey(c.KeyFile)
	if err != nil {
		return err
	}
	if err := checkNotRunning(cfg, voters); err != nil {
		return err
	}
	id, err := control.Init(cfg.DataFolder, consensus.ID(cfg.ID), voters, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.o.out, "initialised %s as voter %s of cluster %s\n", cfg.DataFolder, id.ID, id.Cluster)
	return nil
}

// voterProbeTimeout bounds the request that asks a voter whether the group is running.
const voterProbeTimeout = time.Second

// checkNotRunning returns an AlreadyExists error when another voter reports that the
// control group has committed entries. A daemon that lost its disk must then join the
// group with a new identity instead of starting again as a first voter. Voters that
// cannot be reached are ignored.
func checkNotRunning(cfg *settings.Settings, voters consensus.Membership) error {
	client := peer.NewClient(peer.DialFrom(cfg.PeerAddress))
	defer client.Close()
	for _, id := range voters.IDs() {
		if id == consensus.ID(cfg.ID) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), voterProbeTimeout)
		m, err := peer.Call[control.MembersReply](ctx, client, voters[id].Address, control.MethodMembers, control.MembersRequest{})
		cancel()
		if err == nil && m.Commit > control.InitialIndex {
			return result.New(result.AlreadyExists, "voter %s reports that the control group is already running; run `apricotstream join` on this VM", id)
		}
	}
	return nil
}

// parseVoters parses voters of the form ID=IP:PORT@ZONE.
func parseVoters(list []string) (consensus.Membership, error) {
	m := consensus.Membership{}
	for _, v := range list {
		id, rest, ok := strings.Cut(v, "=")
		address, zone, ok2 := strings.Cut(rest, "@")
		if _, err := netip.ParseAddrPort(address); !ok || !ok2 || err != nil {
			return nil, result.New(result.SettingInvalid, "--voter %s is not ID=IP:PORT@ZONE", v)
		}
		m[consensus.ID(id)] = consensus.Member{ID: consensus.ID(id), Address: address, Zone: zone, Voter: true}
	}
	return m, nil
}

// loadOrCreateOperatorKey reads the operator key from path. When the file does not exist
// it creates a new key and writes it there.
func loadOrCreateOperatorKey(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err == nil {
		return strings.TrimSpace(string(b)), nil
	}
	if !os.IsNotExist(err) {
		return "", err
	}
	key := account.NewKey()
	return key, os.WriteFile(path, []byte(key+"\n"), 0o600)
}

type joinCommand struct {
	o       *options
	Config  string `long:"config" required:"true" value-name:"FILE" description:"settings of this daemon"`
	Cluster string `long:"cluster" required:"true" value-name:"ID" description:"cluster id, as init printed it"`
}

// Execute implements flags.Commander.
func (c *joinCommand) Execute([]string) error {
	cfg, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	if cfg.DataFolder == "" {
		return result.New(result.SettingMissing, "%s sets no data_folder", c.Config)
	}
	id := control.NewIdentity(cfg.ID)
	if err := control.InitLearner(cfg.DataFolder, c.Cluster, id); err != nil {
		return err
	}
	fmt.Fprintf(c.o.out, "joined as %s; now: apricotstream member add --id %s --address %s --zone %s\n", id, id, cfg.PeerAddress, cfg.Zone)
	return nil
}
