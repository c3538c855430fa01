package roster

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/replication"
)

// datagram is the content of a datagram between instances. The marks are attached to the message of the membership
// protocol, so that processes of a version without marks understand it too.
type datagram struct {
	members member.Message
	marks   replication.Message
}

func (datagram datagram) encode() ([]byte, error) {
	message := datagram.members
	if datagram.marks.Digest != 0 || len(datagram.marks.Marks) > 0 || datagram.marks.Knows {
		attachment, err := msgpack.Marshal(&datagram.marks)
		if err != nil {
			return nil, errors.Wrap(err, "encode marks")
		}
		message.Attachment = attachment
	}
	data, err := msgpack.Marshal(&message)
	if err != nil {
		return nil, errors.Wrap(err, "encode membership message")
	}
	return data, nil
}

func decode(data []byte) (datagram, error) {
	var decoded datagram
	if err := msgpack.Unmarshal(data, &decoded.members); err != nil {
		return datagram{}, errors.Wrap(err, "decode membership message")
	}
	for _, described := range append(decoded.members.Updates, decoded.members.From) {
		if !described.State.IsValid() {
			return datagram{}, errors.Errorf("decode membership message: unknown state %d of member %q", described.State, described.Name)
		}
	}
	if len(decoded.members.Attachment) == 0 {
		return decoded, nil
	}
	if err := msgpack.Unmarshal(decoded.members.Attachment, &decoded.marks); err != nil {
		return datagram{}, errors.Wrap(err, "decode marks")
	}
	return decoded, nil
}
