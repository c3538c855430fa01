// Package quarantine bounds how many targets one request can crash, over all instances and resends.
package quarantine
