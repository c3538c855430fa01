package peers

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/fleet"
)

// maxDatagramSize is the size of the receive buffer in bytes. It exceeds the largest UDP payload.
const maxDatagramSize = 64 << 10

// Datagrams sends and receives control packets over UDP.
type Datagrams struct {
	conn      *net.UDPConn
	partition *Partition
	sent      atomic.Int64
	received  atomic.Int64
}

// Listen opens the UDP socket for control packets at the address. The partition drops packets to and from the peers
// that it blocks.
func Listen(address netip.AddrPort, partition *Partition) (*Datagrams, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	return &Datagrams{conn: conn, partition: partition}, nil
}

// Send sends one packet without confirmation of its delivery. It returns an error if the packet cannot be encoded or
// written to the socket. It drops packets to blocked peers and returns nil.
func (datagrams *Datagrams) Send(to netip.AddrPort, packet fleet.Packet) error {
	if datagrams.partition.Blocks(to) {
		return nil
	}
	data, err := packet.Encode()
	if err != nil {
		return errors.Wrap(err, "encode packet")
	}
	datagrams.sent.Add(int64(len(data)))
	_, err = datagrams.conn.WriteToUDPAddrPort(data, to)
	return err
}

// Receive calls handle for each valid packet until the socket closes. It drops packets that cannot be decoded and
// packets from blocked peers.
func (datagrams *Datagrams) Receive(handle func(fleet.Packet)) {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, _, err := datagrams.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		datagrams.received.Add(int64(size))
		packet, err := fleet.Decode(buffer[:size])
		if err != nil || datagrams.partition.Blocks(packet.Member.From.Peer) {
			continue
		}
		handle(packet)
	}
}

// Bytes returns the numbers of bytes sent and received so far.
func (datagrams *Datagrams) Bytes() (sent, received int64) {
	return datagrams.sent.Load(), datagrams.received.Load()
}

// Close closes the socket.
func (datagrams *Datagrams) Close() {
	datagrams.conn.Close()
}
