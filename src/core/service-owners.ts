/**
Which region owns each service while the operators' text moves it between data centres.
A pure part of the configuration fold: every reader comes to the same owners.
*/
import {
	type ConfigMove, type ConfigSection, type SectionValues, type ServiceOwner,
} from '../types/config.ts';
import {
	getServiceSection, parseSectionName, SectionKind, splitList,
} from './config-text.ts';

type Sections = ReadonlyMap<string, ConfigSection>;

/** Owners by service. */
export class ServiceOwners {
	readonly #owners = new Map<string, ServiceOwner>();

	get(service: string): ServiceOwner | undefined {
		return this.#owners.get(service);
	}

	list(): ServiceOwner[] {
		return [...this.#owners.values()];
	}

	restore(owners: Iterable<ServiceOwner>): void {
		this.#owners.clear();
		for (const owner of owners) {
			this.#owners.set(owner.service, owner);
		}
	}

	/**
	Follows an accepted change of a section. A service's first region owns it at once; a later change of region
	leaves the owner as it is until a move record takes over.
	*/
	noteSection(section: string, values: SectionValues | undefined, offset: number): void {
		const parsed = parseSectionName(section);
		if (parsed?.kind !== SectionKind.Service) {
			return;
		}

		const region = values?.region;
		if (region === undefined) {
			this.#owners.delete(parsed.name);
		} else if (!this.#owners.has(parsed.name)) {
			this.#owners.set(parsed.name, {service: parsed.name, region, offset});
		}
	}

	/** Takes a move; false when it lost a race or no longer fits the text. */
	take(move: ConfigMove, offset: number, sections: Sections): boolean {
		if (findMoveObstacle(move, this, sections) !== undefined) {
			return false;
		}

		this.#owners.set(move.service, {
			service: move.service, region: move.region, previousRegion: this.#owners.get(move.service)?.region, offset,
		});
		return true;
	}
}

/** Finds why a service cannot be moved as the record says, or undefined when it can. */
export const findMoveObstacle = (
	move: Pick<ConfigMove, 'service' | 'region' | 'baseOffset'>,
	owners: Pick<ServiceOwners, 'get'>,
	sections: Sections,
): string | undefined => {
	const values = sections.get(getServiceSection(move.service))?.values;
	if (values?.region !== move.region) {
		return 'the text no longer declares this region';
	}

	// A move by a paused entry is based on an owner that has since been replaced; it must not take effect late.
	if (owners.get(move.service)?.offset !== move.baseOffset) {
		return 'another move came first';
	}

	const missing = splitList(values.dependsOn).find(dependency => {
		const declared = sections.get(getServiceSection(dependency))?.values?.region;
		return declared !== undefined && owners.get(dependency)?.region !== declared;
	});
	return missing === undefined ? undefined : `${missing} has to move first`;
};
