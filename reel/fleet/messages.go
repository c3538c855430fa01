package fleet

import (
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/publication"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
)

// Packet is one datagram between instances, in MessagePack.
type Packet struct {
	Member      member.Message       `msgpack:"m"` // message of the membership protocol
	Summary     publication.Summary  `msgpack:"k"`
	Heartbeats  contact.Heartbeats   `msgpack:"b"`
	SwitchState revision.SwitchState `msgpack:"v"`
	Marks       []quarantine.Mark    `msgpack:"q,omitempty"`
	Leaving     []string             `msgpack:"l,omitempty"`
}

// Encode returns the packet in MessagePack.
func (packet Packet) Encode() ([]byte, error) {
	return msgpack.Marshal(packet)
}

// Decode parses a packet; it returns an error if data is not a packet in MessagePack.
func Decode(data []byte) (Packet, error) {
	var packet Packet
	if err := msgpack.Unmarshal(data, &packet); err != nil {
		return Packet{}, errors.Wrap(err, "decode packet")
	}
	return packet, nil
}

// PullRequest requests the state of a peer and the values that the sender lacks.
type PullRequest struct {
	Stamps map[string]publication.Stamp // stamps of the sender's values by key
	From   member.Member                // sender
}

// PullReply is the answer to a PullRequest.
type PullReply struct {
	Updates []publication.Update // values that the requesting instance may lack
	Members []member.Member
	Marks   []quarantine.Mark
	Leaving []string // names of the targets that are leaving
	Switch  revision.SwitchState
}

// Send asks the host to send a packet to the address of a peer.
type Send struct {
	To     netip.AddrPort
	Packet Packet
}

// Pull asks the host to send a PullRequest to the address of a peer.
type Pull struct{ From netip.AddrPort }

// Output is the result of one call to a Machine: actions for the host, and changes of the state.
type Output struct {
	Sends       []Send
	Pulls       []Pull
	Changes     []member.Change
	InForce     *document.Document  // revision that takes effect, or nil
	LogMessages []string            // texts for the host to log
	Values      []publication.Value // values that were stored
	Paused      bool                // the process was paused since the last tick
	Replaced    bool                // a newer process uses the name of this instance
}

// add appends the actions and changes of the other output.
func (output *Output) add(other Output) {
	output.Sends = append(output.Sends, other.Sends...)
	output.Pulls = append(output.Pulls, other.Pulls...)
	output.Changes = append(output.Changes, other.Changes...)
	output.LogMessages = append(output.LogMessages, other.LogMessages...)
	output.Values = append(output.Values, other.Values...)
	output.Paused = output.Paused || other.Paused
	output.Replaced = output.Replaced || other.Replaced
	if other.InForce != nil {
		output.InForce = other.InForce
	}
}
