package feed

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"shallotreel.example/platform/storetest"
	"shallotreel.example/shallotreel/cataloguesync"
)

const ordinaryEntry = `{"service":"desk","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":3,"state":"ready","cold_left_ms":0,"seq":7,"born":1}`

// oddEntries are values that another program than a target may write, which name no target.
func oddEntries() map[string]string {
	odd := map[string]string{
		"nested objects":  strings.Repeat(`{"a":`, 300_000) + "1" + strings.Repeat("}", 300_000),
		"nested arrays":   strings.Repeat("[", 300_000),
		"not JSON":        "\x00\xff\xfe",
		"large text":      strings.Replace(ordinaryEntry, "desk", strings.Repeat("x", 700_000), 1),
		"long state":      strings.Replace(ordinaryEntry, "ready", strings.Repeat("x", 700_000), 1),
		"unknown service": strings.Replace(ordinaryEntry, "desk", "other", 1),
	}
	replaced := map[string][]string{
		`"slots":3`:            {"0", "-1", fmt.Sprint(math.MaxInt64), "1e30", "99999999999999999999", "[]", "null"},
		`"seq":7`:              {"18446744073709551615", "-1", "1e400", "true"},
		`"born":1`:             {fmt.Sprint(math.MaxInt64), fmt.Sprint(math.MinInt64), "1e400"},
		`"addr":"127.0.0.1:9"`: {`"127.0.0.1:0"`, `"127.0.0.1:65536"`, `"127.0.0.1:-1"`, `"127.0.0.1"`, `"0.0.0.0:80"`, `"224.0.0.1:80"`, `""`, "{}"},
		`"cold_left_ms":0`:     {"1e400", `"long"`},
	}
	for field, values := range replaced {
		name, _, _ := strings.Cut(field, ":")
		for _, value := range values {
			odd[name+" "+value] = strings.Replace(ordinaryEntry, field, name+":"+value, 1)
		}
	}
	return odd
}

// TestOddEntries guards against an instance that ends, stops following the store or sends requests to an entry that another program has left
// among those of the targets; also under the key of a target, and read from a peer.
func TestOddEntries(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 1)
	reader := start(t, store.Address(), &fakePeers{})
	peers := &fakePeers{}
	peers.reader.Store(&reader.address)
	other := start(t, store.Address(), peers)
	seq := uint64(0)
	assertFollowed := func(t *testing.T) {
		t.Helper()
		seq++
		store.Register(t, storetest.Target{ID: "one", Seq: seq, Address: addressOf(seq)})
		for _, instance := range []*instance{reader, other} {
			waitFor(t, "the next registration", func() bool {
				targets := instance.View().Targets("desk")
				return len(targets) == 1 && targets[0].ID == "one" && targets[0].Address == addressOf(seq)
			})
		}
	}
	assertFollowed(t)
	odd := oddEntries()
	for _, name := range slices.Sorted(maps.Keys(odd)) {
		value := odd[name]
		t.Run(name, func(t *testing.T) {
			store.RegisterRaw("odd", []byte(value))
			store.RegisterRaw("one", []byte(value))
			assertFollowed(t)
		})
	}
	for _, id := range []string{"", "a b", "a\r\nExpect-Instance: b", strings.Repeat("x", 300)} {
		t.Run(fmt.Sprintf("id %.20q", id), func(t *testing.T) {
			store.RegisterRaw(id, []byte(ordinaryEntry))
			assertFollowed(t)
		})
	}
	t.Run("read from a peer that lets them pass", func(t *testing.T) {
		reply := reader.Since(cataloguesync.Query{})
		odd := reply.Delta.Targets[0]
		odd.ID, odd.Slots = "odd", -1
		reply.Delta.Targets = append(reply.Delta.Targets, odd)
		other.root.Send(other.pid, peerDelta{reply})
		assertFollowed(t)
	})
}

// addressOf returns an address where no target listens, another one for each sequence number.
func addressOf(seq uint64) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(seq))
}
