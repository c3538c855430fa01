package peers

import (
	"net/netip"
	"slices"
	"sync"
)

// Cut separates this instance from peers; tests set it where the settings allow that.
type Cut struct {
	mutex sync.Mutex
	peers []netip.AddrPort
}

// Set replaces the peers that are separated.
func (cut *Cut) Set(peers []netip.AddrPort) {
	cut.mutex.Lock()
	defer cut.mutex.Unlock()
	cut.peers = peers
}

// Separates reports whether the peer is out of reach.
func (cut *Cut) Separates(peer netip.AddrPort) bool {
	cut.mutex.Lock()
	defer cut.mutex.Unlock()
	return slices.Contains(cut.peers, peer)
}
