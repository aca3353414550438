package gossip

// Shuffle trades parts of two partial views.
type Shuffle struct {
	View    []Neighbour `json:"view"`
	IsReply bool        `json:"reply,omitempty"`
}

// Neighbour is one entry of a partial view.
type Neighbour struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Age     uint32 `json:"age"`
}
