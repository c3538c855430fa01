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

func TestPacketRoundTrip(t *testing.T) {
	self := member.Member{Name: "a", DataCentre: "bole-hall", Caller: netip.MustParseAddrPort("127.0.0.1:1"),
		Peer: netip.MustParseAddrPort("127.0.0.1:2"), Incarnation: 7, Version: 3, State: member.Alive}
	now := time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)
	sent := Packet{
		Member: member.Message{Type: member.Ping, From: self, Seq: 9, PingAddress: self.Peer, Responder: "a",
			Updates: []member.Member{self}},
		Summary:     publication.Summary{VersionSum: 1, Digest: 2},
		Heartbeats:  contact.Heartbeats{ListVersion: 1, Counters: []uint32{1, 2}, PlatformAge: -1},
		SwitchState: revision.SwitchState{List: 1, Stamp: revision.Stamp{Revision: 4, PublishedAt: now, Digest: "d"}, At: now, Bits: 3},
		Marks:       []quarantine.Mark{{Fingerprint: 5, Version: 1, Losses: []quarantine.Loss{{Target: "t", At: now}}, Until: now}},
	}
	data, err := sent.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	got.SwitchState.Stamp.PublishedAt = got.SwitchState.Stamp.PublishedAt.UTC()
	got.SwitchState.At = got.SwitchState.At.UTC()
	got.Marks[0].Until = got.Marks[0].Until.UTC()
	got.Marks[0].Losses[0].At = got.Marks[0].Losses[0].At.UTC()
	if !reflect.DeepEqual(got, sent) {
		t.Fatalf("got %+v\nwant %+v", got, sent)
	}
	if len(data) > 500 {
		t.Fatalf("packet takes %d bytes, want at most 500", len(data))
	}
}

func TestDecodeRejectsMalformedPacket(t *testing.T) {
	for _, data := range [][]byte{nil, {0xc1}, []byte("hello")} {
		if _, err := Decode(data); err == nil {
			t.Errorf("Decode(%q) returned no error", data)
		}
	}
}
