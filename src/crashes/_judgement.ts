/**
 * Which attributes explain the crashes that are known.
 *
 * @module
 */
import { isPart } from "./_attributes.js";
import { type KnownConviction } from "./_convictions.js";
import { type CrashLog, type Loss, type Run } from "./_crashLog.js";
import { type Proofs } from "./_proofs.js";

/** Crashes within this time of each other may have one cause outside the requests: a rack, a release, a kill. */
export const SEPARATION_MILLISECONDS = 300;

/** A peer's report that a part is sound arrives within this time after the peer has heard of the suspicion. */
const SOUND_REPORTS_MILLISECONDS = 500;

/** All hosts' evidence of a crash arrives within this time after it, also where datagrams are lost. */
export const EVIDENCE_MILLISECONDS = 200;

/** Crashes that an attribute does not explain, within this time of those that it does, make coincidence likely. */
const OTHER_CRASHES_MILLISECONDS = 10_000;

/** Separate crashes that convict an attribute: alone, beside others that may explain some, and beside many crashes. */
const CRASHES_TO_CONVICT = 2;
const CRASHES_BESIDE_OTHERS = 3;
const CRASHES_BESIDE_MANY = 4;

/** So many other crashes are a release or a series of faults, in which coincidences are frequent. */
const MANY_CRASHES = 3;

/** Separate crashes that convict a part, or a request, where something else explains them as well. */
const CRASHES_IN_TIE = 4;
const CRASHES_OF_RIVALLED_REQUEST = 3;

/** Separate crashes that convict a part that was once answered. */
export const CRASHES_ONCE_ANSWERED = 4;

/** Requests that must have crashed upstreams before a part that they share is convicted. */
const REQUESTS_TO_CONVICT = 2;

/** What is known when attributes are judged. */
export interface Knowledge {
    readonly log: CrashLog;
    readonly proofs: Proofs;
    readonly convictions: readonly KnownConviction[];
}

/** Attributes that are guilty together, or that will be unless one is reported sound meanwhile. */
export interface Finding {
    readonly attributes: readonly string[];
    readonly crashes: number;
    readonly fromMilliseconds: number;
}

/** An attribute that is in more than one separate crash. */
interface Suspect {
    readonly attribute: string;
    readonly runs: ReadonlySet<Run>;
    /** Times of the separate crashes. */
    readonly crashTimes: readonly number[];
    readonly requests: ReadonlySet<string>;
    readonly wasAnswered: boolean;
}

/** Returns the times of crashes that are separate: those close to a listed one are not, also not by a chain of them. */
function separateTimes(runs: Iterable<Run>): number[] {
    const times = [...runs].map(({ atMilliseconds }) => atMilliseconds).sort((left, right) => left - right);
    const separate: number[] = [];
    for (const time of times) {
        if (time - (separate.at(-1) ?? Number.NEGATIVE_INFINITY) >= SEPARATION_MILLISECONDS) {
            separate.push(time);
        }
    }
    return separate;
}

/** Counts crashes that are separate in time. */
export function countSeparate(runs: Iterable<Run>): number {
    return separateTimes(runs).length;
}

function lossesWith(run: Run, attribute: string): Loss[] {
    return [...run.losses.values()].filter(({ attributes }) => attributes.includes(attribute));
}

function includesAll(loss: Loss, attributes: readonly string[]): boolean {
    return attributes.every(attribute => loss.attributes.includes(attribute));
}

/**
 * Returns whether a conviction of other attributes explains an incarnation's crash. That of one request does not explain
 * it for a part: the request may have been lost beside the part by chance, or have crashed upstreams by it.
 */
function isExplained(run: Run, attribute: string | undefined, convictions: readonly KnownConviction[]): boolean {
    return convictions.some(({ attributes }) => {
        const isOther = attribute === undefined || !attributes.includes(attribute);
        const concernsParts = attribute !== undefined && isPart(attribute);
        return isOther
            && (!concernsParts || attributes.some(isPart))
            && [...run.losses.values()].some(loss => includesAll(loss, attributes));
    });
}

/**
 * Returns the incarnations whose loss an attribute may have caused: without an answer on it shortly before or since,
 * and without a convicted attribute.
 *
 * @param attribute The attribute.
 * @param knowledge What is known.
 */
export function blamedRuns(attribute: string, { convictions, log, proofs }: Knowledge): Run[] {
    return [...log.runsOf(attribute)].filter(run =>
        !proofs.excuses(attribute, run.atMilliseconds) && !isExplained(run, attribute, convictions)
    );
}

function describeSuspect(
    attribute: string,
    knowledge: Knowledge,
    untilMilliseconds: number,
): Suspect | undefined {
    if (knowledge.log.runsOf(attribute).size < CRASHES_TO_CONVICT) {
        return undefined;
    }
    const runs = blamedRuns(attribute, knowledge).filter(({ atMilliseconds, isCrash }) =>
        isCrash && atMilliseconds <= untilMilliseconds
    );
    const crashTimes = separateTimes(runs);
    if (crashTimes.length < CRASHES_TO_CONVICT) {
        return undefined;
    }
    const fingerprints = runs.flatMap(run => lossesWith(run, attribute)).map(({ fingerprint }) => fingerprint);
    return {
        attribute,
        runs: new Set(runs),
        crashTimes,
        requests: new Set(fingerprints),
        wasAnswered: knowledge.proofs.lastAnswerMilliseconds(attribute) !== undefined,
    };
}

function explainsAllOf(other: Suspect, suspect: Suspect): boolean {
    return [...suspect.runs].every(run => other.runs.has(run));
}

/** Returns whether a part that explains no more crashes came only together with another one. */
function cameOnlyWith(other: Suspect, suspect: Suspect): boolean {
    return isPart(other.attribute)
        && other.wasAnswered === suspect.wasAnswered
        && other.requests.size >= REQUESTS_TO_CONVICT
        && explainsAllOf(suspect, other)
        && [...other.runs].every(run =>
            lossesWith(run, other.attribute).every(({ attributes }) => attributes.includes(suspect.attribute))
        );
}

/**
 * Returns the parts that are convicted together with a suspect: those that came only with it, unless the suspect also
 * crashed upstreams without them; once may be a coincidence.
 */
function findCompanions(suspect: Suspect, others: readonly Suspect[]): Suspect[] {
    return others.filter(other => {
        const without = [...suspect.runs].filter(run => !other.runs.has(run));
        return cameOnlyWith(other, suspect) && countSeparate(without) < CRASHES_TO_CONVICT;
    });
}

/** Returns whether another part explains the same crashes at least as well. */
function rivalsPart(other: Suspect, suspect: Suspect): boolean {
    return isPart(other.attribute)
        && (!other.wasAnswered || suspect.wasAnswered)
        && other.requests.size >= REQUESTS_TO_CONVICT
        && explainsAllOf(other, suspect);
}

/** Returns whether a request was lost with an attribute of its own. */
function hasAttribute(fingerprint: string, { attribute, runs }: Suspect): boolean {
    return [...runs].some(run => run.losses.get(fingerprint)?.attributes.includes(attribute) === true);
}

/**
 * Returns whether another request explains the same crashes, or a part does: one that the request does not have, or
 * that explains more.
 */
function rivalsRequest(other: Suspect, suspect: Suspect): boolean {
    const [fingerprint = ""] = suspect.requests;
    const isBetter = !isPart(other.attribute)
        || other.requests.size >= REQUESTS_TO_CONVICT
            && (other.runs.size > suspect.runs.size || !hasAttribute(fingerprint, other));
    return isBetter && !other.wasAnswered && explainsAllOf(other, suspect);
}

/** Counts crashes at about the same time that neither the attribute nor a conviction explains. */
function countOtherCrashes({ runs }: Suspect, { convictions, log }: Knowledge): number {
    const times = [...runs].map(({ atMilliseconds }) => atMilliseconds);
    const from = Math.min(...times) - OTHER_CRASHES_MILLISECONDS;
    const to = Math.max(...times) + OTHER_CRASHES_MILLISECONDS;
    const others = [...log.runs()].filter(run =>
        run.isCrash && !runs.has(run) && run.atMilliseconds >= from && run.atMilliseconds <= to
        && !isExplained(run, undefined, convictions)
    );
    return countSeparate(others);
}

function crashesBesideOthers(suspect: Suspect, knowledge: Knowledge): number {
    const others = countOtherCrashes(suspect, knowledge);
    if (others === 0) {
        return CRASHES_TO_CONVICT;
    }
    return others < MANY_CRASHES ? CRASHES_BESIDE_OTHERS : CRASHES_BESIDE_MANY;
}

function crashesNeeded(suspect: Suspect, inTie: number, knowledge: Knowledge): number {
    return Math.max(
        crashesBesideOthers(suspect, knowledge),
        inTie,
        suspect.wasAnswered ? CRASHES_ONCE_ANSWERED : 0,
    );
}

/** Returns whether one and the same request, with the attribute or not, was lost in all crashes of a suspect. */
function isOneRequest({ runs }: Suspect): boolean {
    const [first, ...others] = runs;
    const fingerprints = [...first?.losses.keys() ?? []];
    return fingerprints.some(fingerprint => others.every(run => run.losses.has(fingerprint)));
}

/**
 * Returns whether the requests with a suspect also had other parts that were never answered, in all crashes but one: a
 * sound part that came once with each of two deadly ones looks like the cause of both crashes.
 */
function hasAlternatives({ attribute, runs }: Suspect, members: readonly string[], { proofs }: Knowledge): boolean {
    const isAlternative = (other: string): boolean =>
        isPart(other) && !members.includes(other) && proofs.lastAnswerMilliseconds(other) === undefined;
    const without = [...runs].filter(run =>
        !lossesWith(run, attribute).some(({ attributes }) => attributes.some(isAlternative))
    );
    return without.length < CRASHES_TO_CONVICT;
}

/**
 * Returns whether each crash of a part may be another unproved part's, of which others are known: a sound part that came
 * with two deadly ones looks like the cause of all their crashes.
 */
function isExplainedByOthers(suspect: Suspect, others: readonly Suspect[]): boolean {
    const parts = others.filter(other => isPart(other.attribute) && !other.wasAnswered);
    return [...suspect.runs].every(run => parts.some(other => other.runs.has(run)));
}

function judgePart(suspect: Suspect, suspects: readonly Suspect[], knowledge: Knowledge): Finding | undefined {
    if (suspect.requests.size < REQUESTS_TO_CONVICT || isOneRequest(suspect)) {
        return undefined;
    }
    const others = suspects.filter(other => other !== suspect);
    const companions = findCompanions(suspect, others);
    const rivals = others.filter(other => !companions.includes(other) && rivalsPart(other, suspect));
    const isOutdone = rivals.some(({ runs }) => runs.size > suspect.runs.size);
    const members = [suspect, ...companions].map(({ attribute }) => attribute);
    const unrivalled = hasAlternatives(suspect, members, knowledge) ? CRASHES_BESIDE_OTHERS : CRASHES_TO_CONVICT;
    const isInTie = rivals.length > 0
        || isExplainedByOthers(suspect, others.filter(other => !companions.includes(other)));
    const inTie = isInTie ? CRASHES_IN_TIE : unrivalled;
    if (isOutdone || suspect.crashTimes.length < crashesNeeded(suspect, inTie, knowledge)) {
        return undefined;
    }
    const since = members.map(attribute => knowledge.log.suspectedSinceMilliseconds(attribute));
    return {
        attributes: members,
        crashes: suspect.crashTimes.length,
        fromMilliseconds: Math.max(...since) + SOUND_REPORTS_MILLISECONDS,
    };
}

/** Judges a request by itself. */
function judgeRequest(suspect: Suspect, suspects: readonly Suspect[], knowledge: Knowledge): Finding | undefined {
    const isRivalled = suspects.some(other => other !== suspect && rivalsRequest(other, suspect));
    const inTie = isRivalled ? CRASHES_OF_RIVALLED_REQUEST : CRASHES_TO_CONVICT;
    if (suspect.crashTimes.length < crashesNeeded(suspect, inTie, knowledge)) {
        return undefined;
    }
    return {
        attributes: [suspect.attribute],
        crashes: suspect.crashTimes.length,
        fromMilliseconds: Number.NEGATIVE_INFINITY,
    };
}

/**
 * Finds the attributes that explain the crashes: a part that two requests share, before a request by itself.
 *
 * @param knowledge What is known.
 * @param untilMilliseconds Later crashes do not count, as their evidence may be incomplete.
 * @returns The findings, those that explain most first; one may make others superfluous.
 */
export function findGuilty(knowledge: Knowledge, untilMilliseconds: number): Finding[] {
    const suspects = [...knowledge.log.attributes()].flatMap(attribute =>
        describeSuspect(attribute, knowledge, untilMilliseconds) ?? []
    );
    suspects.sort((left, right) => right.runs.size - left.runs.size || right.requests.size - left.requests.size);
    const parts = suspects.filter(({ attribute }) => isPart(attribute));
    const requests = suspects.filter(({ attribute }) => !isPart(attribute));
    const guiltyParts = parts.flatMap(suspect => {
        const finding = judgePart(suspect, suspects, knowledge);
        return finding === undefined ? [] : [{ finding, suspect }];
    });
    const unexplained = requests.filter(request => !guiltyParts.some(({ suspect }) => explainsAllOf(suspect, request)));
    return [
        ...guiltyParts.map(({ finding }) => finding),
        ...unexplained.flatMap(suspect => judgeRequest(suspect, suspects, knowledge) ?? []),
    ];
}

/**
 * Returns the number of crashes that a conviction whose term has ended has caused since.
 *
 * @param conviction The conviction.
 * @param knowledge What is known.
 */
export function crashesAfterTerm({ attributes, endsAtMilliseconds }: KnownConviction, knowledge: Knowledge): number {
    const [first = ""] = attributes;
    const runs = [...knowledge.log.runsOf(first)].filter(run =>
        run.isCrash && run.atMilliseconds > endsAtMilliseconds
        && attributes.every(attribute => !knowledge.proofs.excuses(attribute, run.atMilliseconds))
        && [...run.losses.values()].some(loss => includesAll(loss, attributes))
    );
    return countSeparate(runs);
}
