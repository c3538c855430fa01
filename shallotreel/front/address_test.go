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
		{"b", []byte{1, 2, 4}}, // one instance is too few
		{"c", []byte{1, 2, 4}},
		{"", []byte{1, 2, 4}},
	} {
		var got []byte
		for _, address := range addressesFor(members, test.centre) {
			got = append(got, address.Addr().As4()[3])
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("callers in %q hear of %v, want %v", test.centre, got, test.want)
		}
	}
}

func TestOutput(t *testing.T) {
	t.Run("never waits for a writer that does not take lines", func(t *testing.T) {
		release := make(chan struct{})
		output := NewLogWriter(stuck(release))
		for range 2 * maxQueuedLines {
			if _, err := output.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if output.Dropped() == 0 {
			t.Error("no line was counted as dropped")
		}
		close(release)
		output.Close()
	})
}

// stuck is a writer that takes nothing until it is released.
type stuck chan struct{}

func (stuck stuck) Write(data []byte) (int, error) {
	<-stuck
	return len(data), nil
}
