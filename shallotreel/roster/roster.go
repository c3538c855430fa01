package roster

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"shallotreel.example/reel/member"
)

const (
	tickPeriod      = 100 * time.Millisecond
	seedPeriodAlone = 300 * time.Millisecond // between calls to the seeds while no peer is known
	seedPeriod      = 5 * time.Second        // and afterwards, which joins fleets that a cut has parted
	maxDatagram     = 64 << 10               // bytes
)

// Roster keeps the members of the fleet in one actor.
type Roster struct {
	ctx          context.Context
	root         *actor.RootContext
	pid          *actor.PID
	machine      *member.Machine
	conn         *net.UDPConn
	log          logrus.FieldLogger
	name         string
	dataCentre   string // data centre
	seeds        []netip.AddrPort
	lastSeedPing time.Time
	members      atomic.Pointer[[]member.Member]
	onChange     func([]member.Member)
}

// Messages of the actor.
type (
	tick     struct{}
	ready    struct{}
	leave    struct{}
	setSeeds struct{ seeds []netip.AddrPort }
)

// Config is what a roster is made of.
type Config struct {
	Self     member.Member
	Seeds    []netip.AddrPort
	Log      logrus.FieldLogger
	Random   *rand.Rand
	OnChange func([]member.Member) // called with the members after each change
}

// Listen opens the socket for datagrams between instances.
func Listen(ctx context.Context, system *actor.ActorSystem, config Config) (*Roster, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Self.Peer))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	roster := &Roster{ctx: ctx, root: system.Root, conn: conn, log: config.Log, seeds: config.Seeds,
		name: config.Self.Name, dataCentre: config.Self.DataCentre,
		machine: member.New(config.Self, config.Random), onChange: config.OnChange}
	roster.publish()
	return roster, nil
}

// Start starts the actor, its clock and its socket.
func (roster *Roster) Start() {
	roster.pid = roster.root.Spawn(actor.PropsFromFunc(roster.receive))
	go roster.tickLoop()
	go roster.readDatagrams()
}

// Members returns the known instances, this one included, ordered by name.
func (roster *Roster) Members() []member.Member {
	return *roster.members.Load()
}

// Reader returns the instance that reads the store for this one: the first by name of those in its data centre that
// take work. It is false for that instance itself and while none is known.
func (roster *Roster) Reader() (netip.AddrPort, bool) {
	for _, member := range roster.Members() {
		if member.DataCentre == roster.dataCentre && member.State.Serves() {
			return member.Peer, member.Name != roster.name
		}
	}
	return netip.AddrPort{}, false
}

// Serving returns the peers that take work, those of the own data centre first.
func (roster *Roster) Serving() []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, member := range roster.Members() {
		switch {
		case member.Name == roster.name || !member.State.Serves():
		case member.DataCentre == roster.dataCentre:
			near = append(near, member.Peer)
		default:
			far = append(far, member.Peer)
		}
	}
	return append(near, far...)
}

// Ready tells the others that this instance takes work.
func (roster *Roster) Ready() { roster.root.Send(roster.pid, ready{}) }

// Leave tells the others that this instance is leaving.
func (roster *Roster) Leave() { roster.root.Send(roster.pid, leave{}) }

// SetSeeds replaces the seeds.
func (roster *Roster) SetSeeds(seeds []netip.AddrPort) { roster.root.Send(roster.pid, setSeeds{seeds}) }

// Close closes the socket.
func (roster *Roster) Close() { roster.conn.Close() }

func (roster *Roster) tickLoop() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-roster.ctx.Done():
			return
		case <-ticker.C:
			roster.root.Send(roster.pid, tick{})
		}
	}
}

func (roster *Roster) readDatagrams() {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := roster.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a peer's closed port; the next datagram may be sound
		}
		var message member.Message
		if err := msgpack.Unmarshal(buffer[:size], &message); err != nil {
			roster.log.WithError(err).Debug("datagram ignored")
			continue
		}
		roster.root.Send(roster.pid, message)
	}
}

func (roster *Roster) receive(actorContext actor.Context) {
	now := time.Now()
	switch message := actorContext.Message().(type) {
	case tick:
		roster.apply(roster.machine.Tick(now))
		roster.pingSeeds(now)
	case ready:
		roster.apply(roster.machine.Ready(now))
	case leave:
		roster.apply(roster.machine.Leave(now))
	case setSeeds:
		roster.seeds = message.seeds
	case member.Message:
		roster.apply(roster.machine.Receive(now, message))
	default:
		return
	}
	roster.publish()
}

// pingSeeds pings the instances that the settings name.
func (roster *Roster) pingSeeds(now time.Time) {
	period := seedPeriod
	if len(roster.Members()) == 1 {
		period = seedPeriodAlone
	}
	if now.Sub(roster.lastSeedPing) < period {
		return
	}
	roster.lastSeedPing = now
	self := roster.machine.Self()
	for _, seed := range roster.seeds {
		if seed != self.Peer {
			roster.send(member.Send{To: seed, Message: member.Message{Type: member.Ping, From: self}})
		}
	}
}

func (roster *Roster) apply(output member.Output) {
	for _, send := range output.Sends {
		roster.send(send)
	}
	for _, change := range output.Changes {
		roster.log.WithFields(logrus.Fields{"instance": change.Member.Name, "state": change.Member.State.String(),
			"reason": change.Reason}).Info("member changed")
	}
}

func (roster *Roster) send(send member.Send) {
	data, err := msgpack.Marshal(send.Message)
	if err != nil {
		roster.log.WithError(err).Error("cannot encode datagram")
		return
	}
	if _, err := roster.conn.WriteToUDPAddrPort(data, send.To); err != nil {
		roster.log.WithError(err).WithField("to", send.To.String()).Debug("cannot send datagram")
	}
}

func (roster *Roster) publish() {
	members := roster.machine.Members()
	if old := roster.members.Load(); old != nil && slices.Equal(*old, members) {
		return
	}
	roster.members.Store(&members)
	if roster.onChange != nil {
		roster.onChange(members)
	}
}
