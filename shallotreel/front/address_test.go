package front

import (
	"net/netip"
	"slices"
	"testing"

	"shallotreel.example/reel/member"
)

func TestAddressesFor(t *testing.T) {
	instance := func(last byte, centre string, state member.State) member.Member {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80)
		return member.Member{Caller: address, DataCentre: centre, State: state}
	}
	members := []member.Member{
		instance(1, "a", member.Alive), instance(2, "a", member.Alive), instance(3, "a", member.Suspect),
		instance(4, "b", member.Alive), instance(5, "b", member.Leaving), instance(6, "c", member.Joining),
	}
	for _, test := range []struct {
		centre string
		want   []byte
	}{
		{"a", []byte{1, 2}},
		{"b", []byte{1, 2, 4}}, // fewer than minLocalAddresses
		{"c", []byte{1, 2, 4}},
		{"", []byte{1, 2, 4}},
	} {
		var got []byte
		for _, address := range addressesFor(members, test.centre) {
			got = append(got, address.Addr().As4()[3])
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("addresses for callers in %q are %v, want %v", test.centre, got, test.want)
		}
	}
}

func TestLogWriter(t *testing.T) {
	t.Run("does not block if the underlying writer blocks", func(t *testing.T) {
		release := make(chan struct{})
		logWriter := NewLogWriter(blockedWriter(release))
		for range 2 * maxQueuedLines {
			if _, err := logWriter.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if logWriter.Dropped() == 0 {
			t.Error("no line is counted as dropped")
		}
		close(release)
		logWriter.Close()
	})
}

// blockedWriter is a writer that blocks until the channel is closed.
type blockedWriter chan struct{}

func (blockedWriter blockedWriter) Write(data []byte) (int, error) {
	<-blockedWriter
	return len(data), nil
}
