package peers

import (
	"net/netip"
	"slices"
	"sync"
)

// Partition simulates a network partition between this instance and a set of peers. It is safe for concurrent use, and
// its zero value blocks no peer. Tests set it through the operators' interface if the settings allow that.
type Partition struct {
	mutex sync.Mutex
	peers []netip.AddrPort
}

// SetPeers replaces the set of blocked peers.
func (partition *Partition) SetPeers(peers []netip.AddrPort) {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.peers = peers
}

// Blocks reports whether the partition separates this instance from the peer.
func (partition *Partition) Blocks(peer netip.AddrPort) bool {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return slices.Contains(partition.peers, peer)
}
