// Package compare lists the fields in which two configurations differ.
package compare
