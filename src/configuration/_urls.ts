/**
 * Checks addresses: base URLs and IP numbers.
 *
 * @module
 */
import { isIP } from "node:net";
import { type ProblemText } from "./_document.js";

/**
 * Tells what is wrong with a base URL, which has to name its host by an IP number.
 *
 * @param text The URL as written.
 */
export function checkBaseUrl(text: string): ProblemText | undefined {
    const allowed = "a base URL with an IP number, such as http://10.0.0.7:8000";
    if (!URL.canParse(text)) {
        return { message: "The URL cannot be read", allowed };
    }
    const url = new URL(text);
    if (isIP(url.hostname.replace(/^\[|\]$/g, "")) === 0) {
        return { message: "The URL names its host by a name", allowed };
    }
    if (url.search !== "" || url.hash !== "" || url.username !== "" || text.endsWith("/")) {
        return { message: "The URL has more than scheme, address, port and path, or ends in a slash", allowed };
    }
    return undefined;
}

/**
 * Tells what is wrong with an address that has to be an IP number.
 *
 * @param text The address as written.
 */
export function checkAddress(text: string): ProblemText | undefined {
    return isIP(text) === 0
        ? { message: "The address is no IP number", allowed: "an IP number, such as 10.0.0.7" }
        : undefined;
}
