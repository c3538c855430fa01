// Package quota divides the request rate that a target takes from all instances together between these instances, which
// agree on nothing but the list of members.
//
// As many instances as the rate feeds hold equal parts of most of it, those near the target larger ones. All others take
// turns: each may send one request during its turn, whose answer shows whether the target still names the rate.
package quota
