/**
 * Measures the costs of each role of a host at several sizes, and their slopes, for `docs/CAPACITY.md`.
 *
 * Run with `npm run build && node --expose-gc dist/measurements/capacity.js`.
 *
 * @module
 */
import { type ConfigurationFigures, measureConfiguration } from "./capacity/configuration.js";
import { measureMembership, type MembershipFigures } from "./capacity/membership.js";
import { measureRequests, type RequestsFigures } from "./capacity/requests.js";
import { measureResidency, type ResidencyFigures } from "./capacity/residency.js";
import { fitSlope } from "./capacity/slope.js";

const HOSTS = [7, 25, 50, 100, 200, 390];
const ENGINES_IN_ZONE = 43;
const MAXIMUM_ZONES = 9;
const ENGINES_AND_MODELS = [[11, 15], [100, 100], [400, 400], [800, 800], [1300, 1200]] as const;
const POOLS = [[3, 5], [5, 8], [8, 11], [10, 10], [10, 20]] as const;
const DECIMAL_PLACES = 2;

type Figures = MembershipFigures | RequestsFigures | ResidencyFigures | ConfigurationFigures;

function zonesOf(hosts: number): number {
    return Math.min(MAXIMUM_ZONES, Math.max(3, Math.ceil(hosts / ENGINES_IN_ZONE)));
}

function formatNumber(value: number): string {
    return Number.isInteger(value) || Math.abs(value) >= 1000
        ? Math.round(value).toString()
        : value.toFixed(DECIMAL_PLACES);
}

function printTable(title: string, rows: readonly Figures[]): void {
    const columns = Object.keys(rows[0] ?? {});
    console.log(`\n### ${title}\n\n| ${columns.join(" | ")} |\n|${columns.map(() => "---").join("|")}|`);
    for (const row of rows) {
        console.log(`| ${Object.values(row).map(value => formatNumber(Number(value))).join(" | ")} |`);
    }
}

/** Prints the linear fit of a figure against a size, with the standard error of the slope. */
function printSlope<Row extends Figures>(
    rows: readonly Row[],
    size: keyof Row & string,
    value: keyof Row & string,
): void {
    const { intercept, slope, standardError } = fitSlope(
        rows.map(row => ({ size: Number(row[size]), value: Number(row[value]) })),
    );
    console.log(
        `- ${value} = ${formatNumber(intercept)} + ${slope.toPrecision(3)} (± ${
            standardError.toPrecision(2)
        }) x ${size}`,
    );
}

const membership = HOSTS.map(hosts => measureMembership(hosts, zonesOf(hosts)));
printTable("Membership of one host", membership);
/** Up to 12 hosts, each one sends heartbeats to all others; costs of larger fleets grow differently. */
const largerThanFullMesh = membership.filter(({ hosts }) => hosts > 12);
printSlope(largerThanFullMesh, "hosts", "bytesPerSecond");
printSlope(largerThanFullMesh, "hosts", "processorMillisecondsPerSecond");
printSlope(largerThanFullMesh, "hosts", "stateBytes");

const requests = ENGINES_AND_MODELS.map(([engines, models]) => measureRequests(engines, models));
printTable("Requests decision of one host", requests);
printSlope(requests, "engines", "microsecondsPerRequest");
printSlope(requests, "engines", "microsecondsPerEngineDigest");
printSlope(requests, "engines", "microsecondsPerTick");
printSlope(requests, "engines", "stateBytes");

const configuration = ENGINES_AND_MODELS.map(([engines, models]) => measureConfiguration(engines, models));
printTable("Operators' text", configuration);
printSlope(configuration, "engines", "textBytes");
printSlope(configuration, "engines", "compressedBytes");
printSlope(configuration, "engines", "parseMilliseconds");
printSlope(configuration, "engines", "stateBytes");

const residency = POOLS.map(([engines, models]) => measureResidency(engines, models));
printTable("Residency of one pool, at its holder", residency);
printSlope(residency, "models", "recordBytes");
printSlope(residency, "models", "processorMillisecondsPerSecond");
