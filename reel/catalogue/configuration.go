package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the operator's routes; it is never changed once it is in force.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route
}

// Route says where requests of one host and path prefix go and how they may be served.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // whether a request may run more than once
	Timeout    time.Duration
	Goal       time.Duration // time within which an answer is worth most
	Attempts   int           // targets on which one request may run, for each shard
	Priority   int           // 0 is the most urgent
	Service    string        // set if one service serves the route
	Weighted   []Weight      // set if several services share the route
	Shards     []string      // set if each request asks all of these services
	Top        int           // records of a merged answer
	LeastShare float64       // of the shards, below which an answer is no success
}

// Weight is the share of a route's requests that a service gets.
type Weight struct {
	Service string
	Weight  float64
}

// Service is what the operator says of the targets of one service.
type Service struct {
	Name           string
	MaxConnections int // to one target, from all callers together
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// NewConfiguration returns a configuration that finds routes by host and path.
func NewConfiguration(version uint64, routes []Route, services []Service, limits Limits) *Configuration {
	configuration := &Configuration{Version: version, Routes: routes, Limits: limits,
		Services: make(map[string]Service, len(services)), hosts: map[string][]*Route{}}
	for _, service := range services {
		configuration.Services[service.Name] = service
	}
	for i := range routes {
		host := canonicalHost(routes[i].Host)
		configuration.hosts[host] = append(configuration.hosts[host], &routes[i])
	}
	for _, found := range configuration.hosts {
		slices.SortStableFunc(found, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return configuration
}

// Find returns the route with the longest prefix of the path among those of the host.
func (configuration *Configuration) Find(host, path string) (*Route, bool) {
	for _, route := range configuration.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Names returns all services that requests of the route may reach.
func (route *Route) Names() []string {
	if len(route.Shards) > 0 {
		return route.Shards
	}
	if route.Service != "" {
		return []string{route.Service}
	}
	names := make([]string, 0, len(route.Weighted))
	for _, weight := range route.Weighted {
		names = append(names, weight.Service)
	}
	return names
}

// canonicalHost drops the port and the case of a host name.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}
