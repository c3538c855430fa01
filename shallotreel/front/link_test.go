package front

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
)

// linkState says what becomes of connections over a link.
type linkState int

const (
	linkOpen     linkState = iota
	linkHanging            // open connections are silent, new ones get no answer
	linkReset              // open connections are reset, new ones are refused
	linkRefusing           // open connections go on, new ones are refused
)

var linkStates = map[string]linkState{"hanging": linkHanging, "reset": linkReset, "refusing": linkRefusing}

// link is a proxy between an instance and a target.
type link struct {
	target   string
	address  netip.AddrPort
	mutex    sync.Mutex
	state    linkState
	listener net.Listener
	blocked  []func() // closes what keeps new connections waiting
	conns    []*net.TCPConn
	resume   *sync.Cond // of mutex
}

// openLink starts a link to the target.
func openLink(t *testing.T, target string) *link {
	t.Helper()
	link := &link{target: target}
	link.resume = sync.NewCond(&link.mutex)
	link.listener, link.address = listenOnFreePort(t)
	go link.accept(link.listener)
	t.Cleanup(link.close)
	return link
}

func (link *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go link.forward(conn.(*net.TCPConn))
	}
}

// forward copies both directions of a connection.
func (link *link) forward(caller *net.TCPConn) {
	dialed, err := net.Dial("tcp", link.target)
	if err != nil {
		caller.Close()
		return
	}
	target := dialed.(*net.TCPConn)
	link.mutex.Lock()
	link.conns = append(link.conns, caller, target)
	link.mutex.Unlock()
	go link.copy(target, caller)
	link.copy(caller, target)
}

// copy copies from source to destination; it waits while the link hangs.
func (link *link) copy(destination, source *net.TCPConn) {
	defer destination.Close()
	buffer := make([]byte, 4096)
	for {
		size, err := source.Read(buffer)
		link.mutex.Lock()
		for link.state == linkHanging {
			link.resume.Wait()
		}
		link.mutex.Unlock()
		if _, writeErr := destination.Write(buffer[:size]); err != nil || writeErr != nil {
			return
		}
	}
}

// set changes the state of the link.
func (link *link) set(t *testing.T, state linkState) {
	t.Helper()
	link.mutex.Lock()
	defer link.mutex.Unlock()
	for _, unblock := range link.blocked {
		unblock()
	}
	link.blocked, link.state = nil, state
	link.listener.Close()
	switch state {
	case linkOpen:
		listener, err := net.Listen("tcp", link.address.String())
		if err != nil {
			t.Errorf("open the link again: %v", err)
			return
		}
		link.listener = listener
		go link.accept(listener)
	case linkHanging:
		link.block(t)
	case linkReset:
		for _, conn := range link.conns {
			_ = conn.SetLinger(0) // fails only for a connection that is closed already
			conn.Close()
		}
	case linkRefusing:
		link.bind(t)
	}
	link.resume.Broadcast()
}

// block listens without room for new connections, so that they wait.
func (link *link) block(t *testing.T) {
	socket, ok := link.bind(t)
	if !ok {
		return
	}
	if err := syscall.Listen(socket, 0); err != nil {
		t.Errorf("block the link: %v", err)
	}
	filler, err := net.Dial("tcp", link.address.String())
	if err != nil {
		t.Errorf("block the link: %v", err)
		return
	}
	link.blocked = append(link.blocked, func() { filler.Close() })
}

// bind binds a socket that does not listen to the address, until the next change of the state. It keeps the port from being given to
// an outgoing connection of another process meanwhile; connections to it are refused.
func (link *link) bind(t *testing.T) (socket int, ok bool) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Errorf("bind the link: %v", err)
		return 0, false
	}
	link.blocked = append(link.blocked, func() { _ = syscall.Close(socket) })
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) // shows at bind
	address := &syscall.SockaddrInet4{Port: int(link.address.Port()), Addr: link.address.Addr().As4()}
	if err := syscall.Bind(socket, address); err != nil {
		t.Errorf("bind the link: %v", err)
		return 0, false
	}
	return socket, true
}

func (link *link) close() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.state = linkOpen
	link.resume.Broadcast()
	link.listener.Close()
	for _, unblock := range link.blocked {
		unblock()
	}
	for _, conn := range link.conns {
		conn.Close()
	}
}
