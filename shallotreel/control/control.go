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
	tickInterval = 100 * time.Millisecond
	pullTimeout  = time.Second
	actorTimeout = time.Second
)

// View is what the rest of the process knows of the fleet; it is never changed, only replaced.
type View struct {
	Self           member.Member
	Members        []member.Member
	Holders        *route.Holders
	Document       *document.Document
	NewestRevision revision.Stamp
	standing       contact.Standing
	goodUntil      time.Time // when the standing ends if nothing more is heard
	admitsUntil    time.Time // from when the document admits nothing more, zero if unknown
	nextDocument   *document.Document
	nextInForceAt  time.Time
	Maps           map[string]*target.Map
	Leaving        []string
	Voters         []string
}

// Listener hears of each new view.
type Listener interface{ Apply(view *View) }

// Control hosts the machine in one actor.
type Control struct {
	ctx            context.Context
	root           *actor.RootContext
	pid            *actor.PID
	machine        *fleet.Machine
	datagrams      *peers.Datagrams
	network        *peers.Network
	platform       *platform.Client
	log            *decision.Log
	listeners      []Listener
	onReplaced     func()
	view           atomic.Pointer[View]
	lastTickAt     atomic.Int64
	platformCalls  atomic.Int64
	maps           map[string]*target.Map
	holders        *route.Holders
	servingMembers string // members that serve, to see whether the view of holders changed
	members        []member.Member
	membersVersion uint64 // of the members
	timer          *time.Timer
	ready          func() bool
}

// Messages of the actor.
type (
	tick             struct{}
	wake             struct{}
	packet           struct{ fleet.Packet }
	broadcastMark    struct{ mark quarantine.Mark }
	broadcastLeaving struct{ target string }
	leave            struct{}
	answerPull       struct{ request fleet.PullRequest }
	pullDone         struct {
		from  netip.AddrPort
		reply *fleet.PullReply
	}
	platformRead struct {
		key   string
		value platform.Value
	}
)

// Config is what a Control is made of.
type Config struct {
	Machine    *fleet.Machine
	Datagrams  *peers.Datagrams
	Network    *peers.Network
	Platform   *platform.Client
	Log        *decision.Log
	Listeners  []Listener
	OnReplaced func()      // called when another process took this instance's name
	Ready      func() bool // reports whether the duties can work
}

// New returns a Control that does nothing until Start.
func New(ctx context.Context, system *actor.ActorSystem, config Config) *Control {
	control := &Control{
		ctx: ctx, root: system.Root, machine: config.Machine, datagrams: config.Datagrams,
		network: config.Network, platform: config.Platform, log: config.Log,
		listeners: config.Listeners, onReplaced: config.OnReplaced, ready: config.Ready,
		maps: map[string]*target.Map{}, holders: &route.Holders{},
	}
	control.publish(time.Now())
	return control
}

// Start starts the actor, its clock, its socket and its watches of the platform.
func (control *Control) Start() {
	control.pid = control.root.Spawn(actor.PropsFromFunc(control.receive))
	go control.tickLoop()
	go control.datagrams.Receive(func(received fleet.Packet) { control.send(packet{received}) })
	control.watchPlatform()
}

// View returns the newest view.
func (control *Control) View() *View {
	return control.view.Load()
}

// Standing judges whether new work may be taken now; a missing tick proves a pause.
func (control *Control) Standing(now time.Time) contact.Standing {
	if now.UnixNano()-control.lastTickAt.Load() > int64(contact.PauseGap) {
		return contact.Paused
	}
	return control.View().StandingAt(now)
}

// StandingAt judges the standing at the instant from what the view knows.
func (view *View) StandingAt(now time.Time) contact.Standing {
	switch {
	case view.standing != contact.Good && view.standing != contact.Undecided:
		return view.standing
	case now.After(view.goodUntil):
		return contact.Isolated
	case view.nextInForce(now) || view.admitsUntil.IsZero() || now.Before(view.admitsUntil):
		return contact.Good
	default:
		return contact.Undecided
	}
}

// DocumentAt returns the revision that admits requests at the instant, nil before the first.
func (view *View) DocumentAt(now time.Time) *document.Document {
	if view.nextInForce(now) {
		return view.nextDocument
	}
	return view.Document
}

func (view *View) nextInForce(now time.Time) bool {
	return view.nextDocument != nil && !now.Before(view.nextInForceAt)
}

// BroadcastMark spreads a mark against a fingerprint.
func (control *Control) BroadcastMark(mark quarantine.Mark) { control.send(broadcastMark{mark}) }

// BroadcastLeaving spreads that a target is leaving.
func (control *Control) BroadcastLeaving(name string) { control.send(broadcastLeaving{name}) }

// Leave tells the peers that this instance is leaving.
func (control *Control) Leave() { control.send(leave{}) }

// Pull answers a peer that lacks something.
func (control *Control) Pull(request fleet.PullRequest) fleet.PullReply {
	reply, err := control.root.RequestFuture(control.pid, answerPull{request}, actorTimeout).Result()
	if err != nil {
		return fleet.PullReply{}
	}
	return reply.(fleet.PullReply)
}

// PlatformCalls returns how many calls this instance has made to the platform.
func (control *Control) PlatformCalls() int64 {
	return control.platformCalls.Load()
}

func (control *Control) send(message any) {
	control.root.Send(control.pid, message)
}

func (control *Control) tickLoop() {
	ticker := time.NewTicker(tickInterval)
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
		if control.ready() {
			control.machine.Prepare()
		}
		control.perform(now, control.machine.Tick(now))
		control.publish(now)
		control.lastTickAt.Store(now.UnixNano())
	case wake:
		control.timer = nil
		control.perform(now, control.machine.Tick(now))
	case packet:
		control.perform(now, control.machine.Receive(now, message.Packet))
	case pullDone:
		control.perform(now, control.machine.Pulled(now, message.from, message.reply))
	case platformRead:
		control.perform(now, control.machine.Read(now, message.key, message.value.Version, message.value.Data))
	case broadcastMark:
		control.perform(now, control.machine.TellMark(now, message.mark))
	case broadcastLeaving:
		control.perform(now, control.machine.TellLeaving(now, message.target))
		control.publish(now)
	case leave:
		control.perform(now, control.machine.Leave(now))
		control.publish(now)
	case answerPull:
		reply, output := control.machine.Answer(now, message.request)
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
		go control.pull(pull.From, control.machine.Request())
	}
	for _, change := range output.Changes {
		control.log.Infof("instance %s is %v: %s", change.Member.Name, change.Member.State, change.Reason)
	}
	for _, note := range output.Notes {
		control.log.Infof("%s", note)
	}
	for _, value := range output.Values {
		control.applyMap(value)
	}
	if output.Replaced {
		control.log.Warnf("another process runs under this name, stopping")
		go control.onReplaced()
	}
	if len(output.Changes) > 0 || len(output.Values) > 0 || output.InForce != nil {
		control.publish(now)
	}
}

func (control *Control) applyMap(value publication.Value) {
	source, ok := strings.CutPrefix(value.Key, platform.TargetsKey)
	if !ok {
		return
	}
	partition := &target.Map{}
	if err := json.Unmarshal(value.Data, partition); err != nil {
		control.log.Warnf("cannot read map of %s: %v", source, err)
		return
	}
	maps := make(map[string]*target.Map, len(control.maps)+1)
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
		control.send(pullDone{from, nil})
		return
	}
	control.send(pullDone{from, &reply})
}

// publish makes a new view if anything in it changed.
func (control *Control) publish(now time.Time) {
	if version := control.machine.MembersVersion(); control.members == nil || version != control.membersVersion {
		control.membersVersion = version
		control.members = control.machine.Members()
		control.updateHolders(control.members)
	}
	view := &View{
		Self: control.machine.Self(), Members: control.members, Holders: control.holders,
		Document: control.machine.InForce(), NewestRevision: control.machine.Held(),
		standing: control.machine.Standing(now), goodUntil: control.machine.GoodUntil(),
		Maps: control.maps, Leaving: control.machine.Leaving(now), Voters: control.machine.Voters(),
	}
	view.nextDocument, view.nextInForceAt = control.machine.Next()
	view.admitsUntil, _ = control.machine.Until()
	old := control.view.Swap(view)
	control.scheduleWake(now, view)
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

// scheduleWake makes the actor tick at the instant of the next switch.
func (control *Control) scheduleWake(now time.Time, view *View) {
	if view.nextDocument == nil || control.timer != nil || control.pid == nil {
		return
	}
	control.timer = time.AfterFunc(view.nextInForceAt.Sub(now), func() { control.send(wake{}) })
}

func (view *View) same(other *View) bool {
	return view.Holders == other.Holders && view.Document == other.Document &&
		len(view.Leaving) == len(other.Leaving) && sameMaps(view.Maps, other.Maps)
}

func sameMaps(a, b map[string]*target.Map) bool {
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

func (control *Control) updateHolders(members []member.Member) {
	var roster strings.Builder
	for _, member := range members {
		if member.State.Serves() {
			roster.WriteString(member.Name)
			roster.WriteString(member.Peer.String())
			roster.WriteByte('\n')
		}
	}
	if roster.String() == control.servingMembers {
		return
	}
	control.servingMembers = roster.String()
	control.holders = route.NewHolders(control.holders.Version+1, members)
}
