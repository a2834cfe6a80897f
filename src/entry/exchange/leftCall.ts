/**
 * Calls that go on although their requests have ended: their callers left, or the answer came before the body was taken.
 *
 * @module
 */
import { type UpstreamCall } from "../upstreamCall.js";
import { type Attempt } from "./attempt.js";
import { remainingMilliseconds, type RequestParts } from "./requestParts.js";
import { isMemoryShort, MEMORY_CHECK_MILLISECONDS } from "./shortMemory.js";

/** Options of {@linkcode limitLeftCall}. */
export interface LeftCallOptions {
    /** Time until the deadline of the call's request. */
    readonly remainingMilliseconds: number;
    readonly isMemoryShort: () => boolean;
    /** The call was cancelled. */
    readonly onCancelled: () => void;
}

/**
 * Cancels a call whose upstream has not taken the body by the request's deadline, once memory is short.
 *
 * @param call The call.
 * @param options Its deadline, and when memory is short.
 *
 * @example
 * ```ts
 * limitLeftCall(call, { remainingMilliseconds: 800, isMemoryShort: () => isMemoryShort(memory), onCancelled });
 * ```
 */
export function limitLeftCall(
    call: Pick<UpstreamCall, "cancel" | "holdsBody">,
    { isMemoryShort, onCancelled, remainingMilliseconds }: LeftCallOptions,
): void {
    const check = (): void => {
        if (!call.holdsBody) {
            return;
        }
        if (isMemoryShort()) {
            call.cancel();
            onCancelled();
        }
        else {
            setTimeout(check, MEMORY_CHECK_MILLISECONDS).unref();
        }
    };
    setTimeout(check, Math.max(0, remainingMilliseconds)).unref();
}

/**
 * Releases an attempt whose request has ended, and leaves its call to the upstream, which may still take the body.
 *
 * @param parts The request.
 * @param attempt The attempt, of which no more answer is expected.
 */
export function leaveCall(parts: RequestParts, attempt: Attempt): void {
    const { attempts, context: { memory }, logger } = parts;
    const { call, number, upstream } = attempt;
    attempts.release(attempt);
    if (call?.holdsBody === true) {
        limitLeftCall(call, {
            remainingMilliseconds: remainingMilliseconds(parts),
            isMemoryShort: () => isMemoryShort(memory),
            onCancelled: () =>
                logger.info("body of an ended request given up", { upstream: upstream.id, attempt: number }),
        });
    }
}
