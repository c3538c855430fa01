package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the operator's routes and services. It must not change after Catalogue.Configure.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route // routes by canonical host, the longest prefix first
}

// Route determines which services serve the requests of one host and path prefix, and how.
type Route struct {
	Name       string
	Host       string
	Prefix     string        // begins and ends with a slash
	Idempotent bool          // whether a request may run more than once, which allows retries and hedges
	Timeout    time.Duration // time after which a request fails
	Goal       time.Duration // latency objective, within which an answer has its full value
	Attempts   int           // maximum number of targets on which one request may run, for each shard
	Priority   int           // 0 is the highest priority
	Service    string        // set if a single service serves the route
	Weighted   []Weight      // set if requests are split between several services
	Shards     []string      // set if each request is sent to all of these services and their answers are merged
	Top        int           // maximum number of records in a merged answer
	LeastShare float64       // share of the shards, from 0 to 1, that a successful merged answer must cover
}

// Weight is the relative share of a route's requests that a service gets.
type Weight struct {
	Service string
	Weight  float64
}

// Service is the operator's configuration for the targets of one service.
type Service struct {
	Name           string
	MaxConnections int           // maximum number of connections to one target, from all instances together
	WarmUp         time.Duration // for which a target is cold after its start, 0 if not configured
	ColdRate       float64       // requests a second that a cold target takes from all instances together, 0 if not configured
}

// Limits are the bounds on requests and connections of callers.
type Limits struct {
	HeaderBytes   int           // maximum size of the request header
	BodyBytes     int64         // maximum size of the request body
	HeaderTimeout time.Duration // maximum time to read the request header
	IdleTimeout   time.Duration // time after which an idle connection is closed
}

// NewConfiguration returns a configuration that indexes the routes by host. It keeps routes, which must not change
// afterwards.
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
	for _, hostRoutes := range configuration.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return configuration
}

// FindRoute returns the route of the host with the longest prefix that matches the path, and false if none matches.
// It ignores the port and the case of the host.
func (configuration *Configuration) FindRoute(host, path string) (*Route, bool) {
	for _, route := range configuration.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// ServiceNames returns the names of all services that requests of the route may be sent to.
func (route *Route) ServiceNames() []string {
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

// canonicalHost returns the host name without its port and in lower case.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
