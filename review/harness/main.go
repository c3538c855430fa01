// Command harness plays one case of the review: it starts processes of the project, with small stand-ins for the store, the
// servers and the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

var (
	folder  string   // temporary folder of settings and logs
	record  *os.File // record.txt of the case
	trouble = os.Getenv("TROUBLE") != "0"
	begun   = time.Now()
)

// note writes a line to the record and to the standard output.
func note(at time.Time, format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f %s\n", at.Sub(begun).Seconds(), fmt.Sprintf(format, arguments...))
	fmt.Fprint(record, line)
}

// say writes a line to both.
func say(format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	fmt.Fprintln(record, line)
	fmt.Println(line)
}

// fail ends the case because it cannot run.
func fail(err error) {
	fmt.Println("the case cannot run:", err)
	exit(exitNoRun)
}

func exit(code int) {
	killAll()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	os.Exit(code)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(exitNoRun)
	}
	var err error
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		fail(err)
	}
	if record, err = os.Create(os.Args[2]); err != nil {
		fail(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		exit(exitNoRun)
	}()
	time.AfterFunc(115*time.Second, func() { fail(fmt.Errorf("the case takes too long")) })
	broken := cases[os.Args[1]]()
	for _, front := range started {
		if front.ended() {
			say("process of %s ended by itself", front.name)
		}
	}
	if broken {
		say("BROKEN")
		exit(exitBroken)
	}
	say("held")
	exit(exitHeld)
}

// cases are the cases by name.
var cases = map[string]func() bool{
	"refused": refusedAfterRun,
	"drain":   drainAfterLostReader,
	"twice":   twiceAfterMove,
	"leaving": leavingAfterHandOver,
}
