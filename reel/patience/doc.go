// Package patience works out from what callers say they still wait how much of their time is spent already.
package patience
