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

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/replication"
)

const (
	maxPushes       = 5 // of new marks at once after a pause; each tick allows one more
	markFanout      = 4 // random peers that receive new marks at once
	tickPeriod      = 100 * time.Millisecond
	seedPeriodAlone = 300 * time.Millisecond   // between pings to the seeds while no peer is known
	seedPeriod      = 5 * time.Second          // between pings to the seeds otherwise, which reunite a partitioned fleet
	aloneTime       = seedPeriod + time.Second // after which an instance without seeds is the only one: others would have pinged it as their seed
	maxDatagram     = 64 << 10                 // bytes
)

// Roster maintains the members of the fleet. One actor owns the state machine of the
// membership protocol; the methods are safe for concurrent use.
type Roster struct {
	ctx          context.Context
	root         *actor.RootContext
	pid          *actor.PID
	machine      *member.Machine
	conn         *net.UDPConn
	log          logrus.FieldLogger
	name         string
	dataCentre   string
	seeds        []netip.AddrPort
	lastSeedPing time.Time
	members      atomic.Pointer[[]member.Member]
	onChange     func([]member.Member)
	marks        *replication.Machine
	onMark       func(mark quarantine.Mark, peer string)
	onMarksKnown func() // nil once it was called
	onComplete   func() // nil once it was called
	onLost       func([]member.Member)
	lost         []member.Member // as last passed to onLost
	startedAt    time.Time
	pushes       int // of marks that are allowed before the next tick
}

// Messages of the actor.
type (
	tick     struct{}
	ready    struct{}
	leave    struct{}
	setSeeds struct{ seeds []netip.AddrPort }
	setLoad  struct{ load member.Load }
	setPath  struct{ lost bool }
	newMark  struct{ fingerprint quarantine.Fingerprint }
)

// Config holds the parameters of a roster.
type Config struct {
	Self     member.Member
	Seeds    []netip.AddrPort
	Log      logrus.FieldLogger
	Random   *rand.Rand
	OnChange func([]member.Member)                   // called with all members after each change; may be nil
	OnLost   func([]member.Member)                   // called with the members that were dead before this process knew them; may be nil
	Tracker  *quarantine.Tracker                     // marks that are replicated between the instances
	OnMark   func(mark quarantine.Mark, peer string) // called for each mark that a peer sent and that changed one here
	// OnMarksKnown is called once this instance knows the marks of its peers, or has waited for them in vain; may be nil.
	OnMarksKnown func()
	// OnComplete is called once this instance should know all members; may be nil. One whose seeds do not answer does not.
	OnComplete func()
}

// Listen returns a roster with an open UDP socket at the peer address of config.Self.
// It returns an error if the address is not available. Start begins the protocol.
func Listen(ctx context.Context, system *actor.ActorSystem, config Config) (*Roster, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Self.Peer))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	roster := &Roster{ctx: ctx, root: system.Root, conn: conn, log: config.Log, seeds: config.Seeds,
		name: config.Self.Name, dataCentre: config.Self.DataCentre,
		machine: member.New(config.Self, config.Random), onChange: config.OnChange,
		marks: replication.New(config.Tracker), onMark: config.OnMark, onMarksKnown: config.OnMarksKnown, onComplete: config.OnComplete, onLost: config.OnLost,
		startedAt: time.Now()}
	roster.publish()
	return roster, nil
}

// Start starts the actor, its ticker and the reading of datagrams.
func (roster *Roster) Start() {
	roster.pid = roster.root.Spawn(actor.PropsFromFunc(roster.receive))
	roster.root.Send(roster.pid, tick{}) // contacts the seeds at once, whose marks a new process must know
	go roster.tickLoop()
	go roster.readDatagrams()
}

// Members returns all known members, including this instance, sorted by name. Callers
// must not modify the slice.
func (roster *Roster) Members() []member.Member {
	return *roster.members.Load()
}

// Reader returns the peer that reads the store on behalf of this instance: among the
// members in the same data centre that accept requests, the one whose name sorts first.
// It returns false if that is this instance, or if there is none.
func (roster *Roster) Reader() (netip.AddrPort, bool) {
	for _, member := range roster.Members() {
		if member.DataCentre == roster.dataCentre && member.State.Serves() {
			return member.Peer, member.Name != roster.name
		}
	}
	return netip.AddrPort{}, false
}

// Serving returns the peers that accept requests, those in the same data centre first.
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

// Ready announces to the peers that this instance accepts requests.
func (roster *Roster) Ready() { roster.root.Send(roster.pid, ready{}) }

// Leave announces to the peers that this instance is leaving.
func (roster *Roster) Leave() { roster.root.Send(roster.pid, leave{}) }

// SetLoad announces the load of this instance to the peers.
func (roster *Roster) SetLoad(load member.Load) { roster.root.Send(roster.pid, setLoad{load}) }

// SetPathLost announces to the peers whether this instance reaches no target.
func (roster *Roster) SetPathLost(lost bool) { roster.root.Send(roster.pid, setPath{lost}) }

// SetSeeds replaces the addresses of the seeds.
func (roster *Roster) SetSeeds(seeds []netip.AddrPort) { roster.root.Send(roster.pid, setSeeds{seeds}) }

// ReplicateMark sends the mark on the fingerprint, which has changed, to the peers.
func (roster *Roster) ReplicateMark(fingerprint quarantine.Fingerprint) {
	roster.root.Send(roster.pid, newMark{fingerprint})
}

// Close closes the UDP socket, which ends the reading of datagrams.
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
			continue // for example a reset from a peer's closed port; later reads may succeed
		}
		message, err := decode(buffer[:size])
		if err != nil {
			roster.log.WithError(err).Debug("malformed datagram ignored")
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
		roster.marks.CheckStart(now, roster.hasSeeds())
		roster.pushes = min(roster.pushes+1, maxPushes)
		roster.pushMarks()
	case ready:
		roster.apply(roster.machine.Ready(now))
	case leave:
		roster.apply(roster.machine.Leave(now))
	case setLoad:
		roster.apply(roster.machine.SetLoad(now, message.load))
	case setPath:
		roster.apply(roster.machine.SetPathLost(now, message.lost))
	case setSeeds:
		roster.seeds = message.seeds
	case newMark:
		roster.marks.Changed(now, message.fingerprint)
		roster.pushMarks()
	case datagram:
		roster.apply(roster.machine.Receive(now, message.members))
		roster.receiveMarks(now, message)
	default:
		return
	}
	roster.announceMarksKnown()
	roster.publish()
	roster.announceLost()
	roster.announceComplete(now)
}

// announceMarksKnown calls onMarksKnown once.
func (roster *Roster) announceMarksKnown() {
	if roster.onMarksKnown == nil || !roster.marks.Knows() {
		return
	}
	if roster.marks.WaitedInVain() {
		roster.log.WithField("members", len(roster.Members())).Warn("no peer told its marks in time; serving without them")
	}
	roster.onMarksKnown()
	roster.onMarksKnown = nil
}

// announceLost calls onLost after each change.
func (roster *Roster) announceLost() {
	lost := roster.machine.Lost()
	if roster.onLost == nil || slices.Equal(lost, roster.lost) {
		return
	}
	roster.lost = lost
	roster.onLost(lost)
}

// announceComplete calls onComplete once.
func (roster *Roster) announceComplete(now time.Time) {
	isAlone := !roster.hasSeeds() && now.Sub(roster.startedAt) >= aloneTime
	if roster.onComplete == nil || !roster.machine.Complete() && !isAlone {
		return
	}
	roster.onComplete()
	roster.onComplete = nil
}

// hasSeeds reports whether the seeds name another instance.
func (roster *Roster) hasSeeds() bool {
	self := roster.machine.Self().Peer
	return slices.ContainsFunc(roster.seeds, func(seed netip.AddrPort) bool { return seed != self })
}

// pingSeeds pings the seeds if the current period has passed since the last time.
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

// pushMarks sends the queued marks to some random peers, unless there were too many pushes since the last ticks.
func (roster *Roster) pushMarks() {
	if !roster.marks.Pending() || roster.pushes == 0 {
		return
	}
	roster.pushes--
	for _, peer := range roster.machine.RandomPeers(markFanout) {
		roster.send(member.Send{To: peer.Peer, Message: roster.machine.GossipMessage(peer)})
	}
}

// receiveMarks merges the marks of a peer, sends those that are new to other peers, and sends marks to the peer if it has
// others than this instance.
func (roster *Roster) receiveMarks(now time.Time, message datagram) {
	changed, differs := roster.marks.Receive(now, message.members.From.Name, message.marks)
	for _, mark := range changed {
		roster.onMark(mark, message.members.From.Name)
	}
	if len(changed) > 0 {
		roster.pushMarks()
	}
	if !differs {
		return
	}
	if marks, ok := roster.marks.CatchUp(now, message.members.From.Name); ok {
		roster.sendDatagram(message.members.From.Peer, datagram{roster.machine.GossipMessage(message.members.From), marks})
	}
}

// apply sends the messages of a step and logs the changes of members.
func (roster *Roster) apply(output member.Output) {
	for _, send := range output.Sends {
		roster.send(send)
	}
	for _, change := range output.Changes {
		roster.log.WithFields(logrus.Fields{"instance": change.Member.Name, "state": change.Member.State.String(),
			"reason": change.Reason}).Info("member changed")
	}
}

// send sends a message of the membership protocol, and with it the marks that are queued.
func (roster *Roster) send(send member.Send) {
	roster.sendDatagram(send.To, datagram{send.Message, roster.marks.Message(time.Now())})
}

func (roster *Roster) sendDatagram(to netip.AddrPort, content datagram) {
	data, err := content.encode()
	if err != nil {
		roster.log.WithError(err).Error("cannot encode datagram")
		return
	}
	if _, err := roster.conn.WriteToUDPAddrPort(data, to); err != nil {
		roster.log.WithError(err).WithField("to", to.String()).Debug("cannot send datagram")
	}
}

// publish stores the members for readers and calls onChange if they have changed.
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
