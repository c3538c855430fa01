package cursor

import "shallotreel.example/reel/storepos"

// Position identifies a state of the store.
type Position = storepos.Position
