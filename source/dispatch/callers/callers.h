// Calls of clients, also those that peers relay.

#ifndef PARSLEYHITCH_DISPATCH_CALLERS_CALLERS_H_
#define PARSLEYHITCH_DISPATCH_CALLERS_CALLERS_H_

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// clients.cc: client calls.
void OnClientCalled(const context& ctx, const work::client_called& event);
void OnClientGone(const context& ctx, const work::client_gone& event);
void OnCallRelayed(const context& ctx, const work::call_relayed& message);
void OnCallSettled(const context& ctx, const work::call_settled& message);
void AnswerStoredCall(const context& ctx, call_number call);
// Answers a call whose record the store will never take.
void AnswerRejectedCall(const context& ctx, call_number call);
// True when a call waits for the confirmation that its job is unknown.
bool HasUnconfirmedCalls(const context& ctx);
// Answers calls that wait for the confirmation, if the confirming read that was
// just answered was sent after they arrived.
void ResolveConfirmedCalls(const context& ctx);
void AdvanceCalls(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_CALLERS_CALLERS_H_
