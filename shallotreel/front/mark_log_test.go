package front

import (
	"bytes"
	"regexp"
	"slices"
	"sync"
	"time"
)

const timeOfDay = "15:04:05.000"

var (
	fingerprintField = regexp.MustCompile(`fingerprint=([0-9a-f]{16})`)
	harmlessRefusal  = regexp.MustCompile(`msg="request refused by its mark".* request=harmless-`)
	crashingRequest  = regexp.MustCompile(` request=crash-`)
	lineTime         = regexp.MustCompile(`^time="[^"]*" `)
)

// markLog keeps the log lines of all instances that name the fingerprint of a request. It is safe for concurrent use.
type markLog struct {
	mutex sync.Mutex
	lines []string
}

// instanceLog writes the lines of one instance to the log, with its name.
type instanceLog struct {
	log  *markLog
	name string
}

// Write implements io.Writer for whole lines.
func (instanceLog instanceLog) Write(line []byte) (int, error) {
	log := instanceLog.log
	if fingerprintField.Match(line) {
		log.mutex.Lock()
		defer log.mutex.Unlock()
		text := lineTime.ReplaceAllString(string(bytes.TrimSpace(line)), "")
		log.lines = append(log.lines, time.Now().Format(timeOfDay)+" "+instanceLog.name+" "+text)
	}
	return len(line), nil
}

// harmlessMarks returns the lines of the fingerprints under which a harmless request was refused.
func (log *markLog) harmlessMarks() []string { return log.about(harmlessRefusal) }

// about returns the lines of each fingerprint that any line names which matches the pattern.
func (log *markLog) about(pattern *regexp.Regexp) []string {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	named := map[string]bool{}
	for _, line := range log.lines {
		if pattern.MatchString(line) {
			named[fingerprintField.FindString(line)] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(log.lines), func(line string) bool { return !named[fingerprintField.FindString(line)] })
}
