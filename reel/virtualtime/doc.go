// Package virtualtime runs functions at times of a virtual clock, for simulations in tests.
package virtualtime
