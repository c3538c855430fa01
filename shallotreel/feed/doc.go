// Package feed follows the platform's store and keeps the instance's catalogue.
package feed
