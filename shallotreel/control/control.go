package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/fleet"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/publication"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
	"shallotreel.example/shallotreel/decision"
	"shallotreel.example/shallotreel/peers"
)

const (
	tickPeriod  = 100 * time.Millisecond
	pullTimeout = time.Second
	askTimeout  = time.Second
)

// View is what the rest of the process knows of the fleet; it is never changed, only replaced.
type View struct {
	Self     member.Member
	Members  []member.Member
	Holders  *route.Holders
	Document *document.Document
	Held     revision.Stamp
	standing contact.Standing
	goodTill time.Time // when the standing ends if nothing more is heard
	until    time.Time // from when the document admits nothing more, zero if unknown
	next     *document.Document
	nextAt   time.Time
	Maps     map[string]*target.PartitionMap
	Leaving  []string
	Voters   []string
}

// Listener hears of each new view.
type Listener interface{ Apply(view *View) }

// Control hosts the machine in one actor.
type Control struct {
	ctx       context.Context
	root      *actor.RootContext
	pid       *actor.PID
	machine   *fleet.Machine
	datagrams *peers.Datagrams
	network   *peers.Network
	platform  *platform.Client
	log       *decision.Log
	listeners []Listener
	replaced  func()
	view      atomic.Pointer[View]
	tickedAt  atomic.Int64
	calls     atomic.Int64
	maps      map[string]*target.PartitionMap
	holders   *route.Holders
	roster    string // members that serve, to see whether the view of holders changed
	members   []member.Member
	version   uint64 // of the members
	timer     *time.Timer
	prepared  func() bool
}

// Messages of the actor.
type (
	tick        struct{}
	wake        struct{}
	packet      struct{ fleet.Packet }
	tellMark    struct{ mark quarantine.Mark }
	tellLeaving struct{ target string }
	leave       struct{}
	answer      struct{ request fleet.PullRequest }
	pulled      struct {
		from  netip.AddrPort
		reply *fleet.PullReply
	}
	read struct {
		key   string
		value platform.Value
	}
)

// Config is what a Control is made of.
type Config struct {
	Machine   *fleet.Machine
	Datagrams *peers.Datagrams
	Network   *peers.Network
	Platform  *platform.Client
	Log       *decision.Log
	Listeners []Listener
	Replaced  func()      // called when another process took this instance's name
	Prepared  func() bool // reports whether the duties can work
}

// New returns a Control that does nothing until Start.
func New(ctx context.Context, system *actor.ActorSystem, config Config) *Control {
	control := &Control{
		ctx: ctx, root: system.Root, machine: config.Machine, datagrams: config.Datagrams,
		network: config.Network, platform: config.Platform, log: config.Log,
		listeners: config.Listeners, replaced: config.Replaced, prepared: config.Prepared,
		maps: map[string]*target.PartitionMap{}, holders: &route.Holders{},
	}
	control.publish(time.Now())
	return control
}

// Start starts the actor, its clock, its socket and its watches of the platform.
func (control *Control) Start() {
	control.pid = control.root.Spawn(actor.PropsFromFunc(control.receive))
	go control.clock()
	go control.datagrams.Receive(func(received fleet.Packet) { control.send(packet{received}) })
	control.watchPlatform()
}

// View returns the newest view.
func (control *Control) View() *View {
	return control.view.Load()
}

// Standing judges whether new work may be taken now; a missing tick proves a pause.
func (control *Control) Standing(now time.Time) contact.Standing {
	if now.UnixNano()-control.tickedAt.Load() > int64(contact.PauseThreshold) {
		return contact.Paused
	}
	return control.View().StandingAt(now)
}

// StandingAt judges the standing at the instant from what the view knows.
func (view *View) StandingAt(now time.Time) contact.Standing {
	switch {
	case view.standing != contact.Good && view.standing != contact.Undecided:
		return view.standing
	case now.After(view.goodTill):
		return contact.Isolated
	case view.switched(now) || view.until.IsZero() || now.Before(view.until):
		return contact.Good
	default:
		return contact.Undecided
	}
}

// DocumentAt returns the revision that admits requests at the instant, nil before the first.
func (view *View) DocumentAt(now time.Time) *document.Document {
	if view.switched(now) {
		return view.next
	}
	return view.Document
}

func (view *View) switched(now time.Time) bool {
	return view.next != nil && !now.Before(view.nextAt)
}

// TellMark spreads a mark against a fingerprint.
func (control *Control) TellMark(mark quarantine.Mark) { control.send(tellMark{mark}) }

// TellLeaving spreads that a target is leaving.
func (control *Control) TellLeaving(name string) { control.send(tellLeaving{name}) }

// Leave tells the peers that this instance is leaving.
func (control *Control) Leave() { control.send(leave{}) }

// Pull answers a peer that lacks something.
func (control *Control) Pull(request fleet.PullRequest) fleet.PullReply {
	reply, err := control.root.RequestFuture(control.pid, answer{request}, askTimeout).Result()
	if err != nil {
		return fleet.PullReply{}
	}
	return reply.(fleet.PullReply)
}

// PlatformCalls returns how many calls this instance has made to the platform.
func (control *Control) PlatformCalls() int64 {
	return control.calls.Load()
}

func (control *Control) send(message any) {
	control.root.Send(control.pid, message)
}

func (control *Control) clock() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-control.ctx.Done():
			return
		case <-ticker.C:
			control.send(tick{})
		}
	}
}

func (control *Control) receive(actorContext actor.Context) {
	now := time.Now()
	switch message := actorContext.Message().(type) {
	case tick:
		if control.prepared() {
			control.machine.SetReady()
		}
		control.perform(now, control.machine.Tick(now))
		control.publish(now)
		control.tickedAt.Store(now.UnixNano())
	case wake:
		control.timer = nil
		control.perform(now, control.machine.Tick(now))
	case packet:
		control.perform(now, control.machine.Receive(now, message.Packet))
	case pulled:
		control.perform(now, control.machine.HandlePullReply(now, message.from, message.reply))
	case read:
		control.perform(now, control.machine.HandlePlatformValue(now, message.key, message.value.Version, message.value.Data))
	case tellMark:
		control.perform(now, control.machine.BroadcastMark(now, message.mark))
	case tellLeaving:
		control.perform(now, control.machine.BroadcastLeaving(now, message.target))
		control.publish(now)
	case leave:
		control.perform(now, control.machine.Leave(now))
		control.publish(now)
	case answer:
		reply, output := control.machine.HandlePull(now, message.request)
		control.perform(now, output)
		actorContext.Respond(reply)
	}
}

func (control *Control) perform(now time.Time, output fleet.Output) {
	for _, send := range output.Sends {
		if err := control.datagrams.Send(send.To, send.Packet); err != nil {
			control.log.Warnf("cannot send to %v: %v", send.To, err)
		}
	}
	for _, pull := range output.Pulls {
		go control.pull(pull.From, control.machine.PullRequest())
	}
	for _, change := range output.Changes {
		control.log.Infof("instance %s is %v: %s", change.Member.Name, change.Member.State, change.Reason)
	}
	for _, note := range output.LogMessages {
		control.log.Infof("%s", note)
	}
	for _, value := range output.Values {
		control.takeMap(value)
	}
	if output.Replaced {
		control.log.Warnf("another process runs under this name, stopping")
		go control.replaced()
	}
	if len(output.Changes) > 0 || len(output.Values) > 0 || output.InForce != nil {
		control.publish(now)
	}
}

func (control *Control) takeMap(value publication.Value) {
	source, ok := strings.CutPrefix(value.Key, platform.TargetsKey)
	if !ok {
		return
	}
	partition := &target.PartitionMap{}
	if err := json.Unmarshal(value.Data, partition); err != nil {
		control.log.Warnf("cannot read map of %s: %v", source, err)
		return
	}
	maps := make(map[string]*target.PartitionMap, len(control.maps)+1)
	for name, known := range control.maps {
		maps[name] = known
	}
	maps[source] = partition
	control.maps = maps
}

func (control *Control) pull(from netip.AddrPort, request fleet.PullRequest) {
	ctx, cancel := context.WithTimeout(control.ctx, pullTimeout)
	defer cancel()
	reply, err := control.network.Pull(ctx, from, request)
	if err != nil {
		control.send(pulled{from, nil})
		return
	}
	control.send(pulled{from, &reply})
}

// publish makes a new view if anything in it changed.
func (control *Control) publish(now time.Time) {
	if version := control.machine.MembersVersion(); control.members == nil || version != control.version {
		control.version = version
		control.members = control.machine.Members()
		control.renewHolders(control.members)
	}
	view := &View{
		Self: control.machine.Self(), Members: control.members, Holders: control.holders,
		Document: control.machine.InForce(), Held: control.machine.NewestStamp(),
		standing: control.machine.Standing(now), goodTill: control.machine.LeaseExpiry(),
		Maps: control.maps, Leaving: control.machine.LeavingTargets(now), Voters: control.machine.Voters(),
	}
	view.next, view.nextAt = control.machine.NextRevision()
	view.until, _ = control.machine.AdmitUntil()
	old := control.view.Swap(view)
	control.wakeAt(now, view)
	if old != nil && old.standing != view.standing {
		control.log.Infof("standing changed from %v to %v", old.standing, view.standing)
	}
	if old != nil && old.same(view) {
		return
	}
	for _, listener := range control.listeners {
		listener.Apply(view)
	}
}

// wakeAt makes the actor tick at the instant of the next switch.
func (control *Control) wakeAt(now time.Time, view *View) {
	if view.next == nil || control.timer != nil || control.pid == nil {
		return
	}
	control.timer = time.AfterFunc(view.nextAt.Sub(now), func() { control.send(wake{}) })
}

func (view *View) same(other *View) bool {
	return view.Holders == other.Holders && view.Document == other.Document &&
		len(view.Leaving) == len(other.Leaving) && sameMaps(view.Maps, other.Maps)
}

func sameMaps(a, b map[string]*target.PartitionMap) bool {
	if len(a) != len(b) {
		return false
	}
	for source, partition := range a {
		if b[source] != partition {
			return false
		}
	}
	return true
}

func (control *Control) renewHolders(members []member.Member) {
	var roster strings.Builder
	for _, member := range members {
		if member.State.Serves() {
			roster.WriteString(member.Name)
			roster.WriteString(member.Peer.String())
			roster.WriteByte('\n')
		}
	}
	if roster.String() == control.roster {
		return
	}
	control.roster = roster.String()
	control.holders = route.NewHolders(control.holders.Version+1, members)
}
