package gateway

import (
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/member"
)

// StatusBody is the response to GET /admin/v1/status.
type StatusBody struct {
	Daemon        string                `json:"daemon"`
	Zone          string                `json:"zone"`
	Fresh         bool                  `json:"fresh"`
	ConfigVersion uint64                `json:"config_version"`
	Daemons       []member.Daemon       `json:"daemons"`
	Upstreams     int                   `json:"upstreams"`
	InFlight      int                   `json:"in_flight"`
	Group         *control.MembersReply `json:"group,omitempty"`
	GroupError    string                `json:"group_error,omitempty"`
}

// KeyBody is a key in responses, without its hash.
type KeyBody struct {
	ID        string `json:"id"`
	Account   string `json:"account,omitempty"`
	Operator  bool   `json:"operator,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// ServiceBody is a service document in responses. Text is empty in lists.
type ServiceBody struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
}
