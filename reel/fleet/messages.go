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

// Packet is one datagram between instances.
type Packet struct {
	Member  member.Message    `msgpack:"m"`
	Clock   publication.Clock `msgpack:"k"`
	Beats   contact.Beats     `msgpack:"b"`
	Switch  revision.Switch   `msgpack:"v"`
	Marks   []quarantine.Mark `msgpack:"q,omitempty"`
	Leaving []string          `msgpack:"l,omitempty"`
}

// Encode writes the packet as MessagePack.
func (packet Packet) Encode() ([]byte, error) {
	return msgpack.Marshal(packet)
}

// Decode reads a packet from MessagePack.
func Decode(data []byte) (Packet, error) {
	var packet Packet
	if err := msgpack.Unmarshal(data, &packet); err != nil {
		return Packet{}, errors.Wrap(err, "decode packet")
	}
	return packet, nil
}

// PullRequest tells a peer what this instance holds.
type PullRequest struct {
	Stamps map[string]publication.Stamp
	From   member.Member
}

// PullReply brings what the peer holds beyond that.
type PullReply struct {
	Updates []publication.Update
	Members []member.Member
	Marks   []quarantine.Mark
	Leaving []string
	Switch  revision.Switch
}

// Send asks the host to send a packet.
type Send struct {
	To     netip.AddrPort
	Packet Packet
}

// Pull asks the host to pull from a peer.
type Pull struct{ From netip.AddrPort }

// Output is what one step asks for and tells.
type Output struct {
	Sends    []Send
	Pulls    []Pull
	Changes  []member.Change
	InForce  *document.Document // set when a revision takes force
	Notes    []string           // decisions worth a log line
	Values   []publication.Value
	Paused   bool
	Replaced bool
}

func (output *Output) add(other Output) {
	output.Sends = append(output.Sends, other.Sends...)
	output.Pulls = append(output.Pulls, other.Pulls...)
	output.Changes = append(output.Changes, other.Changes...)
	output.Notes = append(output.Notes, other.Notes...)
	output.Values = append(output.Values, other.Values...)
	output.Paused = output.Paused || other.Paused
	output.Replaced = output.Replaced || other.Replaced
	if other.InForce != nil {
		output.InForce = other.InForce
	}
}
