package member

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/go-faster/errors"
)

// State is what the fleet believes of an instance; a later state outranks an earlier one.
type State uint8

// States of an instance.
const (
	Joining State = iota // runs but takes no work yet
	Alive
	Leaving
	Suspect
	Dead
)

var stateNames = []string{"joining", "alive", "leaving", "suspect", "dead"}

// String returns the state's name.
func (state State) String() string {
	return stateNames[state]
}

// Serves reports whether work may be given to an instance in the state.
func (state State) Serves() bool {
	return state == Alive
}

// Reachable reports whether an instance in the state is believed to answer.
func (state State) Reachable() bool {
	return state == Joining || state == Alive || state == Leaving
}

// MarshalJSON writes the state's name.
func (state State) MarshalJSON() ([]byte, error) {
	return json.Marshal(state.String())
}

// UnmarshalJSON reads the state's name.
func (state *State) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return err
	}
	at := slices.Index(stateNames, name)
	if at < 0 {
		return errors.Errorf("unknown member state %q", name)
	}
	*state = State(at)
	return nil
}

// Member describes one instance; Incarnation rises with each start of its process.
type Member struct {
	Name        string         `msgpack:"n" json:"name"`
	DataCentre  string         `msgpack:"d" json:"data_centre"`
	Caller      netip.AddrPort `msgpack:"c" json:"caller_address"`
	Peer        netip.AddrPort `msgpack:"p" json:"peer_address"`
	Incarnation uint64         `msgpack:"i" json:"incarnation"`
	Version     uint64         `msgpack:"v" json:"version"`
	State       State          `msgpack:"s" json:"state"`
}

// Newer reports whether the description supersedes the other.
func (member Member) Newer(other Member) bool {
	order := cmp.Or(
		cmp.Compare(member.Incarnation, other.Incarnation),
		cmp.Compare(member.Version, other.Version),
		cmp.Compare(member.State, other.State),
	)
	return order > 0
}

// Type distinguishes the messages between instances.
type Type uint8

// Types of messages.
const (
	Ping Type = iota
	Ack
	PingRequest
	News
)

// Message is what one instance tells another about membership.
type Message struct {
	Type    Type           `msgpack:"t"`
	From    Member         `msgpack:"f"`
	Seq     uint64         `msgpack:"q"`
	About   netip.AddrPort `msgpack:"a"`           // whom to ping for a PingRequest
	Subject string         `msgpack:"b,omitempty"` // whose life an Ack proves
	Updates []Member       `msgpack:"u,omitempty"`
}

// Send asks the host to send the message to a peer.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Change tells that a member's state changed, and why.
type Change struct {
	Member Member
	Reason string
}

// Output is what one step of the machine asks for and tells.
type Output struct {
	Sends    []Send
	Changes  []Change
	Replaced bool // another process runs under this instance's name
}
