package desired

//go:generate go tool easyjson .
