// Package publication keeps the newest copy of each value that the platform published.
package publication
