package gossip

// Shuffle is the message in which a node sends a part of its partial view, as a request or as the reply to one.
type Shuffle struct {
	View    []Neighbour `json:"view"`
	IsReply bool        `json:"reply,omitempty"`
}

// Neighbour is one entry of a partial view.
type Neighbour struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Age     uint32 `json:"age"` // in shuffle rounds of the nodes that held the entry, not a time
}
