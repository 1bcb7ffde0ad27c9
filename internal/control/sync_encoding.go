package control

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/apricotstream/apricotstream/internal/state"
)

// EncodeJSON implements peer.EncodedResult. Changes and the configuration are copied from
// the form that was made for the first follower: when a large configuration changes, a
// replica sends it to dozens of followers at the same moment.
func (s SyncReply) EncodeJSON() ([]byte, error) {
	rest := s
	rest.Changes, rest.Config = nil, nil
	out, err := json.Marshal(rest)
	if err != nil {
		return nil, err
	}
	parts := [][]byte{out[:len(out)-1]} // without the closing brace; never empty, since it has the cluster
	for i, c := range s.Changes {
		b, err := c.MarshalJSON()
		if err != nil {
			return nil, err
		}
		start := `,`
		if i == 0 {
			start = `,"changes":[`
		}
		parts = append(parts, []byte(start), b)
	}
	if len(s.Changes) > 0 {
		parts = append(parts, []byte(`]`))
	}
	if s.Config != nil {
		b, err := s.encodedConfig()
		if err != nil {
			return nil, err
		}
		parts = append(parts, []byte(`,"config":`), b)
	}
	return bytes.Join(append(parts, []byte(`}`)), nil), nil
}

func (s SyncReply) encodedConfig() ([]byte, error) {
	if s.configJSON == nil {
		return json.Marshal(s.Config)
	}
	return s.configJSON()
}

// configEncoding is the JSON form of one configuration. The loop of a replica owns it.
type configEncoding struct {
	config *state.Config
	json   func() ([]byte, error) // for any goroutine
}

// of returns a function that returns the JSON form of c, which is made on first use.
func (e *configEncoding) of(c *state.Config) func() ([]byte, error) {
	if e.config != c {
		e.config = c
		e.json = sync.OnceValues(func() ([]byte, error) { return json.Marshal(c) })
	}
	return e.json
}
