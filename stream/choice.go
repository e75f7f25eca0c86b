package stream

type Place struct{ Region, Zone, Site string }
