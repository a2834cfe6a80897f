/**
 * Whether the key of a request that was accepted still allows it.
 *
 * @module
 */
import { type Account, decideUnknownKey, type UnknownKeyVerdict } from "../../accounts/index.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type CallerRequest } from "./requestFacts.js";

/** The parts of a request that its key is checked by. */
export interface KeyCheckParts {
    readonly context: Pick<ForwardingContext, "configurationEvidence" | "routeTable">;
    readonly request: Pick<CallerRequest, "account" | "target">;
}

/**
 * Returns the account that holds a request's key now: another than it was accepted for where the account was renamed, and
 * none where the key was removed.
 */
export function currentHolder({ context, request: { account } }: KeyCheckParts): Account | undefined {
    const accounts = account === undefined ? undefined : context.routeTable()?.accounts;
    return account === undefined || accounts === undefined ? account?.account : accounts.holderOf(account.keyDigest);
}

/**
 * Returns why a request may no longer be sent: its key was removed while it waited.
 *
 * @param parts The request.
 * @returns `undefined` where it may be sent.
 */
export function findKeyProblem(parts: KeyCheckParts): UnknownKeyVerdict | undefined {
    const { context, request: { account, target } } = parts;
    if (account === undefined || currentHolder(parts) !== undefined) {
        return undefined;
    }
    const path = target.pathAndQuery.split("?")[0] ?? "/";
    const needsKey = context.routeTable()?.match(target.host, path)?.isPublic !== true;
    return needsKey ? decideUnknownKey(context.configurationEvidence()) : undefined;
}
