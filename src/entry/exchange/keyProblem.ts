/**
 * Whether the key of a request that was accepted still allows it.
 *
 * @module
 */
import { decideUnknownKey, type UnknownKeyVerdict } from "../../accounts/index.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type CallerRequest } from "./requestFacts.js";

/** The parts of a request that its key is checked by. */
export interface KeyCheckParts {
    readonly context: Pick<ForwardingContext, "configurationEvidence" | "routeTable">;
    readonly request: Pick<CallerRequest, "account" | "target">;
}

/** Returns whether the account of a request still holds its key, or needs none. */
export function holdsKey({ context, request: { account } }: KeyCheckParts): boolean {
    if (account === undefined) {
        return true;
    }
    const accounts = context.routeTable()?.accounts;
    return accounts === undefined || accounts.holdsKey(account.account.name, account.keyDigest);
}

/**
 * Returns why a request may no longer be sent: its key was removed while it waited.
 *
 * @param parts The request.
 * @returns `undefined` where it may be sent.
 */
export function findKeyProblem(parts: KeyCheckParts): UnknownKeyVerdict | undefined {
    if (holdsKey(parts)) {
        return undefined;
    }
    const { context, request: { target } } = parts;
    const path = target.pathAndQuery.split("?")[0] ?? "/";
    const needsKey = context.routeTable()?.match(target.host, path)?.isPublic !== true;
    return needsKey ? decideUnknownKey(context.configurationEvidence()) : undefined;
}
