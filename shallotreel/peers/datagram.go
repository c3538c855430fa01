package peers

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/fleet"
)

const datagramMost = 64 << 10 // bytes

// Datagrams sends and receives control packets.
type Datagrams struct {
	conn     *net.UDPConn
	cut      *Cut
	sent     atomic.Int64
	received atomic.Int64
}

// Listen opens the socket for control packets.
func Listen(address netip.AddrPort, cut *Cut) (*Datagrams, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	return &Datagrams{conn: conn, cut: cut}, nil
}

// Send sends one packet; a lost one is not noticed.
func (datagrams *Datagrams) Send(to netip.AddrPort, packet fleet.Packet) error {
	if datagrams.cut.Separates(to) {
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

// Receive hands each packet to take until the socket closes.
func (datagrams *Datagrams) Receive(take func(fleet.Packet)) {
	buffer := make([]byte, datagramMost)
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
		if err != nil || datagrams.cut.Separates(packet.Member.From.Peer) {
			continue
		}
		take(packet)
	}
}

// Bytes returns how many bytes were sent and received.
func (datagrams *Datagrams) Bytes() (sent, received int64) {
	return datagrams.sent.Load(), datagrams.received.Load()
}

// Close closes the socket.
func (datagrams *Datagrams) Close() {
	datagrams.conn.Close()
}
