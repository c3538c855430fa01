// Package revision decides which revision of the published configuration an instance uses.
//
// A revision that keeps the preset in force takes effect as soon as it is read. A revision that chooses
// another preset starts a preset switch: the instances vote that they have read it, and the preset takes
// effect on all of them at one agreed time once a majority of the voters has voted. An instance that cannot
// learn the outcome stops admitting requests, so that no two instances admit requests under different presets.
package revision
