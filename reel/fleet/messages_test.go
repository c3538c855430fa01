package fleet

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/publication"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
)

func TestPacketSurvivesItsEncoding(t *testing.T) {
	self := member.Member{Name: "a", DataCentre: "bole-hall", Caller: netip.MustParseAddrPort("127.0.0.1:1"),
		Peer: netip.MustParseAddrPort("127.0.0.1:2"), Incarnation: 7, Version: 3, State: member.Alive}
	now := time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)
	sent := Packet{
		Member: member.Message{Type: member.Ping, From: self, Seq: 9, PingAddress: self.Peer, Responder: "a",
			Updates: []member.Member{self}},
		Clock:  publication.Clock{Sum: 1, Digest: 2},
		Beats:  contact.Beats{List: 1, Counts: []uint32{1, 2}, Age: -1},
		Switch: revision.Switch{List: 1, Stamp: revision.Stamp{Revision: 4, PublishedAt: now, Digest: "d"}, At: now, Bits: 3},
		Marks:  []quarantine.Mark{{Fingerprint: 5, Version: 1, Losses: []quarantine.Loss{{Target: "t", At: now}}, Until: now}},
	}
	data, err := sent.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	got.Switch.Stamp.PublishedAt = got.Switch.Stamp.PublishedAt.UTC()
	got.Switch.At = got.Switch.At.UTC()
	got.Marks[0].Until = got.Marks[0].Until.UTC()
	got.Marks[0].Losses[0].At = got.Marks[0].Losses[0].At.UTC()
	if !reflect.DeepEqual(got, sent) {
		t.Fatalf("got %+v\nwant %+v", got, sent)
	}
	if len(data) > 500 {
		t.Fatalf("packet takes %d bytes", len(data))
	}
}

func TestDecodeRefusesWhatIsNoPacket(t *testing.T) {
	for _, data := range [][]byte{nil, {0xc1}, []byte("hello")} {
		if _, err := Decode(data); err == nil {
			t.Errorf("Decode(%q) gave no error", data)
		}
	}
}
