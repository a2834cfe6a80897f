/**
 * Checks a host's settings beyond their schema.
 *
 * @module
 */
import { type Settings } from "../generated/settings.js";
import { type ProblemDescription, type TextDocument, type TextPath } from "./_document.js";
import { checkAddress, checkBaseUrl } from "./_urls.js";
import { type TextProblem } from "./problems.js";

function problemsAt(document: TextDocument, path: TextPath, problem: ProblemDescription | undefined): TextProblem[] {
    return problem === undefined ? [] : [document.problemAt(path, problem)];
}

/**
 * Returns a problem for each address or URL without an IP address, and for endpoints with the same address and port.
 *
 * @param document The parsed file.
 * @param settings The settings in it.
 */
export function settingsProblems(document: TextDocument, settings: Settings): TextProblem[] {
    const { callers, peers, platform, metrics } = settings;
    const sharesEndpoint = callers.port !== 0 && callers.port === peers.port && callers.address === peers.address;
    return [
        ...problemsAt(document, ["callers", "address"], checkAddress(callers.address)),
        ...problemsAt(document, ["peers", "address"], checkAddress(peers.address)),
        ...platform.keyValue.flatMap((url, index) =>
            problemsAt(document, ["platform", "keyValue", index], checkBaseUrl(url))
        ),
        ...problemsAt(document, ["platform", "hostList"], checkBaseUrl(platform.hostList)),
        ...(metrics === undefined ? [] : problemsAt(document, ["metrics", "address"], checkAddress(metrics.address))),
        ...(sharesEndpoint
            ? [document.problemAt(["peers", "port"], {
                message: "Callers and peers have the same address and port",
                allowed: "two different ports",
            })]
            : []),
    ];
}
