/**
 * Calls that go on although their callers left.
 *
 * @module
 */
import { type UpstreamCall } from "../upstreamCall.js";
import { MEMORY_CHECK_MILLISECONDS } from "./shortMemory.js";

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
