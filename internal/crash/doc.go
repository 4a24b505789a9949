// Package crash finds out which requests crash targets, and which parts of their
// prompts, and says which requests must not be sent any more.
//
// A suspect is a whole request, identified by its content, or a part of a prompt
// other than the last, which belongs to one request. A crash names the suspects of
// all attempts that ran on the target when it was lost. A part is acquitted by an
// attempt to which the target wrote more than the beginning of a response, a
// request by a complete response: something that crashes every target never gets
// that far.
//
// A request is blocked if it has everything that the crashes of one of its
// suspects have in common. It is thus not blocked for a bystander that happened to
// be lost in the same crashes, and requests that share only some suspects with it
// go on. How many crashes that takes depends on how often other requests are lost
// meanwhile, so that targets which crash for another reason lead to no block.
//
// Instances exchange crashes, acquittals and blocks; see Tracker.Merge. Blocks end
// after blockTTL or when a suspect in them is acquitted.
package crash
