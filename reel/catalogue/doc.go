// Package catalogue keeps an instance's view of the registered targets and of the configuration of routes and services.
package catalogue
