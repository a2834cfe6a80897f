/**
 * Finds the account that a caller's request belongs to.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";
import { type AccountDirectory, type Identity, type RequestAccount, requestTokens } from "../accounts/index.js";
import { type HeaderNames } from "./siteProtocol.js";

function countHeader({ rawHeaders }: IncomingMessage, name: string): number {
    let count = 0;
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const each = rawHeaders[index] ?? "";
        count += each.length === name.length && each.toLowerCase() === name ? 1 : 0;
    }
    return count;
}

function readSingle({ headers }: IncomingMessage, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}

/** Returns the value of the header with the key; `undefined` also where it is repeated, of which Node keeps the first. */
function readAuthorization(message: IncomingMessage, name: string): string | undefined {
    const value = readSingle(message, name);
    return value === undefined || countHeader(message, name) > 1 ? undefined : value;
}

/**
 * Returns who sends a request.
 *
 * @param message The request.
 * @param accounts The accounts of the configuration in force.
 * @param names The site's header names.
 *
 * @example
 * ```ts
 * const identity = identifyCaller(message, accounts, headers);
 * ```
 */
export function identifyCaller(
    message: IncomingMessage,
    accounts: AccountDirectory,
    names: Pick<HeaderNames, "authorization">,
): Identity {
    return accounts.identify(readAuthorization(message, names.authorization));
}

/**
 * Returns the account of a request with the request's cost; `undefined` for a request without an account.
 *
 * @param message The request.
 * @param identity Who sends it.
 * @param accounts The accounts of the configuration in force.
 * @param names The site's header names.
 */
export function accountOfRequest(
    message: IncomingMessage,
    identity: Identity,
    accounts: AccountDirectory,
    names: Pick<HeaderNames, "tokenCount">,
): RequestAccount | undefined {
    if (identity.type !== "account") {
        return undefined;
    }
    const { account, keyDigest } = identity;
    const tokens = requestTokens(readSingle(message, names.tokenCount), account);
    return { account, keyDigest, tag: accounts.tagOf(account), tokens };
}
