package member

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/go-faster/errors"
)

// State is the state of a member in the view of an instance. Of two descriptions with
// the same incarnation and version, the one with the higher state wins.
type State uint8

// States of a member.
const (
	Joining State = iota // running, but does not accept requests yet
	Alive
	Leaving
	Suspect
	Dead
)

var stateNames = []string{"joining", "alive", "leaving", "suspect", "dead"}

// IsValid reports whether the state is one of the constants.
func (state State) IsValid() bool { return int(state) < len(stateNames) }

// String returns the name of the state.
func (state State) String() string {
	return stateNames[state]
}

// Serves reports whether an instance in the state accepts requests.
func (state State) Serves() bool {
	return state == Alive
}

// Reaches reports whether the instance accepts requests and reaches targets.
func (member Member) Reaches() bool {
	return member.State.Serves() && !member.PathLost
}

// Reachable reports whether an instance in the state is expected to answer messages.
func (state State) Reachable() bool {
	return state == Joining || state == Alive || state == Leaving
}

// MarshalJSON encodes the state as its name.
func (state State) MarshalJSON() ([]byte, error) {
	return json.Marshal(state.String())
}

// UnmarshalJSON decodes the name of a state. It returns an error for an unknown name.
func (state *State) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return err
	}
	index := slices.Index(stateNames, name)
	if index < 0 {
		return errors.Errorf("unknown member state %q", name)
	}
	*state = State(index)
	return nil
}

// Member describes one instance. Incarnation increases with each start of its
// process, and Version with each change of the description by that process.
type Member struct {
	Name        string         `msgpack:"n" json:"name"`
	DataCentre  string         `msgpack:"d" json:"data_centre"`
	Caller      netip.AddrPort `msgpack:"c" json:"caller_address"`
	Peer        netip.AddrPort `msgpack:"p" json:"peer_address"`
	Incarnation uint64         `msgpack:"i" json:"incarnation"`
	Version     uint64         `msgpack:"v" json:"version"`
	State       State          `msgpack:"s" json:"state"`
	Processor   uint32         `msgpack:"k,omitempty" json:"processor,omitempty"` // share in thousandths of a core, 0 if unknown
	Load        Load           `msgpack:"l,omitempty" json:"load,omitempty"`      // use of the processor for callers
	PathLost    bool           `msgpack:"w,omitempty" json:"path_lost,omitempty"` // whether the instance reaches no target
}

// Newer reports whether the description supersedes the other: it compares the
// incarnation, then the version, then the state.
func (member Member) Newer(other Member) bool {
	order := cmp.Or(
		cmp.Compare(member.Incarnation, other.Incarnation),
		cmp.Compare(member.Version, other.Version),
		cmp.Compare(member.State, other.State),
	)
	return order > 0
}

// Type is the type of a membership message.
type Type uint8

// Types of membership messages.
const (
	Ping Type = iota
	Ack
	PingRequest
	Gossip
	Pull    // a query for all members that the receiver knows
	Members // a part of the members that the sender knows
)

// Message is a membership message from one instance to another.
type Message struct {
	Type        Type           `msgpack:"t"`
	From        Member         `msgpack:"f"`
	Seq         uint64         `msgpack:"q"`
	PingAddress netip.AddrPort `msgpack:"a"`           // of the instance to ping, in a PingRequest
	Responder   string         `msgpack:"b,omitempty"` // name of the instance that answered the ping, in an Ack
	Updates     []Member       `msgpack:"u,omitempty"`
	Digest      uint64         `msgpack:"h,omitempty"` // of the members that the sender of a Pull knows
	Complete    bool           `msgpack:"e,omitempty"` // whether these Members are the last ones, and none is missing
	Attachment  []byte         `msgpack:"x,omitempty"` // data of the caller, which the protocol does not read
}

// Send is a message that the caller must send to the peer at the address To.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Change is a changed description of a member, with the reason for the change.
type Change struct {
	Member Member
	Reason string
}

// Output is the result of one step of the state machine.
type Output struct {
	Sends    []Send
	Changes  []Change
	Replaced bool // whether another process with a higher incarnation runs under this instance's name
}
