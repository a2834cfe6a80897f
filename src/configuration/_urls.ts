/**
 * Checks base URLs and IP addresses.
 *
 * @module
 */
import { isIP } from "node:net";
import { type ProblemDescription } from "./_document.js";

/**
 * Returns the problem of a base URL, whose host must be an IP address; `undefined` for a valid one.
 *
 * @param text The URL as written.
 */
export function checkBaseUrl(text: string): ProblemDescription | undefined {
    const allowed = "a base URL with an IP address, such as http://10.0.0.7:8000";
    if (!URL.canParse(text)) {
        return { message: "The URL cannot be parsed", allowed };
    }
    const url = new URL(text);
    if (isIP(url.hostname.replace(/^\[|\]$/g, "")) === 0) {
        return { message: "The URL has a host name instead of an IP address", allowed };
    }
    if (url.search !== "" || url.hash !== "" || url.username !== "" || text.endsWith("/")) {
        return { message: "The URL has more than scheme, address, port and path, or ends in a slash", allowed };
    }
    return undefined;
}

/**
 * Returns the problem of an address that is not an IP address; `undefined` for a valid one.
 *
 * @param text The address as written.
 */
export function checkAddress(text: string): ProblemDescription | undefined {
    return isIP(text) === 0
        ? { message: "The address is not an IP address", allowed: "an IP address, such as 10.0.0.7" }
        : undefined;
}
