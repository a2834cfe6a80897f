/**
 * Checks of a host's settings beyond their schema.
 *
 * @module
 */
import { type Settings } from "../generated/settings.js";
import { type ProblemText, type TextDocument, type TextPath } from "./_document.js";
import { checkAddress, checkBaseUrl } from "./_urls.js";
import { type TextProblem } from "./problems.js";

function place(document: TextDocument, path: TextPath, problem: ProblemText | undefined): TextProblem[] {
    return problem === undefined ? [] : [document.problemAt(path, problem)];
}

/**
 * Gives addresses that are no IP numbers, URLs that name hosts, and endpoints that clash.
 *
 * @param document The text.
 * @param settings What it says.
 */
export function settingsProblems(document: TextDocument, settings: Settings): TextProblem[] {
    const { callers, peers, platform, metrics } = settings;
    const clash = callers.port !== 0 && callers.port === peers.port && callers.address === peers.address;
    return [
        ...place(document, ["callers", "address"], checkAddress(callers.address)),
        ...place(document, ["peers", "address"], checkAddress(peers.address)),
        ...platform.keyValue.flatMap((url, index) =>
            place(document, ["platform", "keyValue", index], checkBaseUrl(url))
        ),
        ...place(document, ["platform", "hostList"], checkBaseUrl(platform.hostList)),
        ...(metrics === undefined ? [] : place(document, ["metrics", "address"], checkAddress(metrics.address))),
        ...(clash
            ? [document.problemAt(["peers", "port"], {
                message: "Callers and peers have the same address and port",
                allowed: "two different ports",
            })]
            : []),
    ];
}
