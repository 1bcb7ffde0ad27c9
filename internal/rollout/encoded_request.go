package rollout

import "encoding/json"

// EncodedRequest is a StepRequest forwarded between daemons. It is encoded as a JSON
// string because the peer protocol re-encodes objects with sorted keys, which would change
// the hash of the request and the fingerprints of its prompts.
type EncodedRequest struct{ StepRequest }

// MarshalJSON implements json.Marshaler.
func (c EncodedRequest) MarshalJSON() ([]byte, error) {
	b, err := json.Marshal(c.StepRequest)
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(b))
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *EncodedRequest) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), &c.StepRequest)
}
