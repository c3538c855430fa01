// Package platform stands in for the platform's configuration service in tests.
package platform
